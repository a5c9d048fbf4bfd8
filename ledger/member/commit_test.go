package member

import (
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

func quietLogger() *log.Logger { return &log.Logger{Level: log.PanicLevel} }

func emptyDirectory() *discovery.Directory {
	return discovery.NewDirectory(discovery.Decoder{}, quietLogger(), func(discovery.Snapshot) {})
}

// startSingleMember opens a member without peers and starts its commit loop.
func startSingleMember(t *testing.T, dir string) *Member {
	t.Helper()
	m, err := Open(Options{Name: "m1", Addr: "127.0.0.1:0", Dir: dir, FirstStart: true, Log: quietLogger(), Directory: emptyDirectory()})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go m.commitWrites(ctx)
	t.Cleanup(cancel)
	return m
}

func request(t *testing.T, m *Member, event func(requestID uint64) ledger.Event) *ledgerpb.Response {
	t.Helper()
	responses := make(chan *ledgerpb.Response, 1)
	m.post(event(m.newRequestID(func(r *ledgerpb.Response) { responses <- r })))
	select {
	case r := <-responses:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("the member did not respond in time")
		return nil
	}
}

func appendEvent(records ...*ledgerpb.Record) func(uint64) ledger.Event {
	return func(requestID uint64) ledger.Event {
		return ledger.AppendRequested{RequestID: requestID, Records: records}
	}
}

// A record that cannot be encoded must not be written as an empty one: the next
// start would mistake the empty record for the end of the file.
func TestUnencodableRecordIsNotWritten(t *testing.T) {
	dir := t.TempDir()
	m := startSingleMember(t, dir)
	bad := ledger.NewSettlement("p\xff", "a", 1, "")
	assert.Equal(t, ledgerpb.Status_STATUS_FAILED, request(t, m, appendEvent(bad)).GetStatus())
	assert.Equal(t, ledgerpb.Status_STATUS_OK, request(t, m, appendEvent(ledger.NewSettlement("p", "a", 1, ""))).GetStatus())
	assert.Equal(t, 1, startSingleMember(t, dir).replica.Records())
}

// A member that cannot read a requested record must fail the request: if it omitted the
// record, the copying member would consider itself complete.
func TestUnreadableRecordFailsCopy(t *testing.T) {
	m := startSingleMember(t, t.TempDir())
	require.Equal(t, ledgerpb.Status_STATUS_OK, request(t, m, appendEvent(ledger.NewSettlement("p", "a", 1, ""))).GetStatus())
	keys := request(t, m, func(requestID uint64) ledger.Event { return ledger.KeysRequested{RequestID: requestID} }).GetKeys()
	require.Len(t, keys, 1)
	readEvent := func(requestID uint64) ledger.Event { return ledger.RecordsRequested{RequestID: requestID, Keys: keys} }
	assert.Len(t, request(t, m, readEvent).GetRecords(), 1)
	require.NoError(t, m.disk.Drop(1))
	assert.Equal(t, ledgerpb.Status_STATUS_FAILED, request(t, m, readEvent).GetStatus())
}
