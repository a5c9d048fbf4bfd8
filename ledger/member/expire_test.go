package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

// appendAt stores records at one member only.
func (c *cluster) appendAt(name string, records ...*ledgerpb.Record) {
	c.t.Helper()
	conn, err := transport.Dial(c.context(), c.addrs[name])
	require.NoError(c.t, err)
	defer conn.Close()
	response, err := conn.Call(c.context(), &ledgerpb.Request{
		ViewVersion: c.views.Snapshot().View.Version, Call: &ledgerpb.Request_Append{Append: &ledgerpb.Append{Records: records}},
	})
	require.NoError(c.t, err)
	require.Equal(c.t, ledgerpb.Status_STATUS_OK, response.GetStatus())
}

// awaitRecords waits until a member has this number of records.
func (c *cluster) awaitRecords(name string, records int) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		return isReadyWith(c.addrs[name], c.views.Snapshot().View.Version, records) && !isReadyWith(c.addrs[name], c.views.Snapshot().View.Version, records+1)
	}, waitTimeout, 20*time.Millisecond, "%s does not have %d records", name, records)
}

func turnOf(program, id, previous string) *ledgerpb.Record {
	return ledger.NewTurn(&ledgerpb.Turn{Program: program, Id: id, Previous: previous, RetentionMs: 60_000})
}

// Members dropped by themselves what they had acknowledged (review/12: LOST, BUDGET).
func TestMembersExpireProgramsOnlyWithAQuorum(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	_, err := c.client.Append(c.context(), turnOf("p", "t1", ""))
	require.NoError(t, err)
	for _, name := range []string{"m1", "m2", "m3"} {
		c.awaitRecords(name, 1)
	}
	m1, afterRetention := c.members["m1"], time.Now().Add(time.Hour)
	m1.Expire(c.context(), time.Now(), "p")
	c.awaitRecords("m1", 1)
	c.stop("m2", "m3")
	m1.Expire(c.context(), afterRetention, "p")
	assert.Never(t, func() bool { return !isReadyWith(c.addrs["m1"], c.views.Snapshot().View.Version, 1) }, 100*time.Millisecond, 20*time.Millisecond)
	c.start("m2", false)
	require.Eventually(t, func() bool {
		m1.Expire(c.context(), afterRetention, "p")
		return !isReadyWith(c.addrs["m1"], c.views.Snapshot().View.Version, 1)
	}, waitTimeout, 20*time.Millisecond)
}

// A member that missed turns acknowledged those that continue them: the chain was on fewer disks
// than the turn.
func TestChainIsCopiedBeforeTurnCounts(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.appendAt("m1", turnOf("p", "t1", ""), turnOf("q", "t2", "t1"))
	_, err := c.client.Append(c.context(), turnOf("q", "t3", "t2"))
	require.NoError(t, err)
	for _, name := range []string{"m1", "m2", "m3"} {
		c.awaitRecords(name, 3)
	}
}

// Nothing was sent again to a member that had missed appends of which a quorum has the records.
func TestMissedRecordsAreCopied(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	for _, name := range []string{"m1", "m2"} {
		c.appendAt(name, turnOf("p", "t1", ""), ledger.NewSettlement("p", "t1", 10, ""))
	}
	c.members["m3"].SignalMissed()
	c.awaitRecords("m3", 2)
}
