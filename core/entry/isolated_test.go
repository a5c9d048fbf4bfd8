package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// isolate drops all messages of an entry and takes the key-value service down.
func isolate(c *cluster, vm core.VM) {
	c.kvDown = true
	c.drop = func(from, to core.VM, _ core.Message) bool { return from == vm || to == vm }
}

func TestIsolatedEntryRefusesImmediately(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.waitForOwners()
	owner := c.ownerOf("p")
	at := c.entryExcept(owner, owner)
	require.False(t, at.entry.Status().Isolated)
	isolate(c, at.node.VM)
	c.waitFor("the entry to detect its isolation", func() bool { return at.entry.Status().Isolated })
	req := c.call(at, turn("p", 1))
	require.Len(t, c.replies[req], 1, "the refusal is sent immediately")
	f := c.replies[req][0]
	require.Equal(t, core.OutcomeNotRun, f.Outcome)
	require.Equal(t, core.ReasonNoOwner, f.Reason)
	require.NotZero(t, f.RetryAfter)
	c.drop, c.kvDown = nil, false
	c.waitFor("the entry to be connected again", func() bool { return !at.entry.Status().Isolated })
	require.Equal(t, core.OutcomeRan, c.reply(c.call(at, turn("p", 1))).Outcome)
}

func TestEntryThatReachesPeersIsNotIsolated(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.waitForOwners()
	c.kvDown = true
	c.advance(5 * core.Second)
	for _, vm := range []core.VM{"e0", "e1", "e2"} {
		require.False(t, c.procs[vm].entry.Status().Isolated)
	}
}

func TestEntryThatReachesStoreIsNotIsolated(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.waitForOwners()
	isolate(c, "e0")
	c.kvDown = false
	c.advance(5 * core.Second)
	require.False(t, c.procs["e0"].entry.Status().Isolated)
}

func TestSoleEntryIsNotIsolated(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.waitForOwners()
	c.kvDown = true
	c.advance(5 * core.Second)
	require.False(t, c.procs["e0"].entry.Status().Isolated)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn("p", 1))).Outcome)
}

func TestHungStoreCountsAsFailed(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.waitForOwners()
	isolate(c, "e0")
	c.kvDown, c.kvHung = false, true
	c.waitFor("the entry to detect its isolation", func() bool { return c.procs["e0"].entry.Status().Isolated })
}
