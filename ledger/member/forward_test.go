package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

func awaitRequest(t *testing.T, version uint64, rec *ledgerpb.Record) *ledgerpb.Request {
	t.Helper()
	summary, ok := ledger.Summarize(rec)
	require.True(t, ok)
	return &ledgerpb.Request{ViewVersion: version, Call: &ledgerpb.Request_AwaitRecords{AwaitRecords: &ledgerpb.AwaitRecords{Keys: []uint64{uint64(summary.Key)}}}}
}

func call(t *testing.T, conn *transport.Conn, req *ledgerpb.Request) <-chan ledgerpb.Status {
	t.Helper()
	done := make(chan ledgerpb.Status, 1)
	conn.Go(req, func(response *ledgerpb.Response, err error) {
		assert.NoError(t, err)
		done <- response.GetStatus()
	})
	return done
}

func TestMemberWaitsForForwardedRecords(t *testing.T) {
	m, conn := startServing(t, 0)
	rec := ledger.NewSettlement("p", "a", 1, "")
	assert.Equal(t, ledgerpb.Status_STATUS_NOT_FOUND, <-call(t, conn, awaitRequest(t, 0, rec)), "nobody forwards the record")
	waiting := call(t, conn, awaitRequest(t, 0, rec))
	assert.Equal(t, ledgerpb.Status_STATUS_OK, request(t, m, appendEvent(rec)).GetStatus())
	assert.Equal(t, ledgerpb.Status_STATUS_OK, <-waiting)
	assert.Equal(t, 0, m.awaits.state().requests)
}

// Members of a newer view need not have copied what arrives after they have it, so it must not
// be acknowledged to writers with an older one.
func TestForwardedRecordDoesNotCountForWritersWithOlderView(t *testing.T) {
	m, conn := startServing(t, 0)
	rec := ledger.NewSettlement("p", "a", 1, "")
	respond := make(chan ledgerpb.Status, 1)
	m.awaitRecords(awaitRequest(t, 1, rec), awaitRequest(t, 1, rec).GetAwaitRecords().GetKeys(), func(r *ledgerpb.Response) { respond <- r.GetStatus() })
	m.options.Directory.MergeView(ledger.View{Version: 2})
	request(t, m, appendEvent(rec))
	assert.Equal(t, ledgerpb.Status_STATUS_STALE_VIEW, <-respond, "the view changed meanwhile")
	assert.Equal(t, ledgerpb.Status_STATUS_STALE_VIEW, <-call(t, conn, awaitRequest(t, 1, rec)))
	assert.Equal(t, ledgerpb.Status_STATUS_OK, <-call(t, conn, awaitRequest(t, 2, rec)))
}

// The records of an append count as held until they have been forwarded.
func TestForwardedAppendsAreBounded(t *testing.T) {
	m, _ := startServing(t, 1)
	require.True(t, m.appends.acquire(10, finishing))
	end := m.forward(&ledgerpb.Append{Records: []*ledgerpb.Record{ledger.NewSettlement("p", "a", 1, "")}, ForwardTo: []string{"silent0", "unknown"}}, 10)
	end()
	assert.Equal(t, 1, m.appends.state().requests, "the silent member has not responded")
	assert.Eventually(t, func() bool { return m.appends.state() == backlogState{limit: maxAppends} }, 5*time.Second, 5*time.Millisecond)
}
