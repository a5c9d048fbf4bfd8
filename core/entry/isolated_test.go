package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// isolate cuts an entry off from every other process and the service.
func isolate(c *cluster, vm core.VM) {
	c.kvDown = true
	c.cut = func(from, to core.VM, _ core.Message) bool { return from == vm || to == vm }
}

func TestIsolatedEntryRefusesAtOnce(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settled()
	home := c.homeOf("p")
	at := c.other(home, home)
	require.False(t, at.entry.Status().Isolated)
	isolate(c, at.node.VM)
	c.until("the entry notices", func() bool { return at.entry.Status().Isolated })
	req := c.call(at, turn("p", 1))
	require.Len(t, c.replies[req], 1, "the refusal does not wait")
	f := c.replies[req][0]
	require.Equal(t, core.OutcomeNotRun, f.Outcome)
	require.Equal(t, core.ReasonNoOwner, f.Reason)
	require.NotZero(t, f.RetryAfter)
	c.cut, c.kvDown = nil, false
	c.until("the entry is back", func() bool { return !at.entry.Status().Isolated })
	require.Equal(t, core.OutcomeRan, c.reply(c.call(at, turn("p", 1))).Outcome)
}

func TestEntryThatHearsOthersIsNotIsolated(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settled()
	c.kvDown = true
	c.advance(5 * core.Second)
	for _, vm := range []core.VM{"e0", "e1", "e2"} {
		require.False(t, c.procs[vm].entry.Status().Isolated)
	}
}

func TestServiceThatAnswersEndsNoIsolation(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settled()
	isolate(c, "e0")
	c.kvDown = false
	c.advance(5 * core.Second)
	require.False(t, c.procs["e0"].entry.Status().Isolated)
}

func TestSoleEntryIsNotIsolated(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.settled()
	c.kvDown = true
	c.advance(5 * core.Second)
	require.False(t, c.procs["e0"].entry.Status().Isolated)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn("p", 1))).Outcome)
}

func TestSilentServiceCountsAsFailed(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settled()
	isolate(c, "e0")
	c.kvDown, c.kvHangs = false, true
	c.until("the entry notices", func() bool { return c.procs["e0"].entry.Status().Isolated })
}
