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

// alone runs a member that is the only one.
func alone(t *testing.T, dir string) *Member {
	t.Helper()
	quiet := &log.Logger{Level: log.PanicLevel}
	m, err := Open(Options{
		Name: "m1", Addr: "127.0.0.1:0", Dir: dir, FirstStart: true, Log: quiet,
		Directory: discovery.NewDirectory(discovery.Decoder{}, quiet, func(discovery.Snapshot) {}),
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go m.commit(ctx)
	t.Cleanup(cancel)
	return m
}

func ask(t *testing.T, m *Member, event func(ticket uint64) ledger.Event) *ledgerpb.Response {
	t.Helper()
	answer := make(chan *ledgerpb.Response, 1)
	m.post(event(m.expect(func(r *ledgerpb.Response) { answer <- r })))
	select {
	case r := <-answer:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no answer")
		return nil
	}
}

func appending(records ...*ledgerpb.Record) func(uint64) ledger.Event {
	return func(ticket uint64) ledger.Event { return ledger.AppendRequested{RequestID: ticket, Records: records} }
}

// A record that cannot be encoded must not leave an empty one on the disk, at which
// the next start would stop reading.
func TestRecordThatCannotBeEncodedIsNotWritten(t *testing.T) {
	dir := t.TempDir()
	m := alone(t, dir)
	bad := ledger.NewSettlement("p\xff", "a", 1, "")
	assert.Equal(t, ledgerpb.Status_STATUS_FAILED, ask(t, m, appending(bad)).GetStatus())
	assert.Equal(t, ledgerpb.Status_STATUS_OK, ask(t, m, appending(ledger.NewSettlement("p", "a", 1, ""))).GetStatus())
	assert.Equal(t, 1, alone(t, dir).replica.Records())
}

// A member that cannot read one of the records asked for must not answer as if there
// were none: the one that copies would take itself for complete.
func TestRecordThatCannotBeReadFailsTheCopy(t *testing.T) {
	m := alone(t, t.TempDir())
	require.Equal(t, ledgerpb.Status_STATUS_OK, ask(t, m, appending(ledger.NewSettlement("p", "a", 1, ""))).GetStatus())
	keys := ask(t, m, func(ticket uint64) ledger.Event { return ledger.KeysRequested{RequestID: ticket} }).GetKeys()
	require.Len(t, keys, 1)
	reading := func(ticket uint64) ledger.Event { return ledger.RecordsRequested{RequestID: ticket, Keys: keys} }
	assert.Len(t, ask(t, m, reading).GetRecords(), 1)
	require.NoError(t, m.disk.Drop(1))
	assert.Equal(t, ledgerpb.Status_STATUS_FAILED, ask(t, m, reading).GetStatus())
}
