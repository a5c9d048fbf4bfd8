package sim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// recorder is a reducer that records the events of the platform.
type recorder struct {
	results []core.StoreResult
	watched []core.StoreRecord
	lists   []core.VMList
	effects []core.Effect
}

func (c *recorder) Step(ev core.Event, _ core.Instant) []core.Effect {
	switch ev := ev.(type) {
	case core.StoreResult:
		c.results = append(c.results, ev)
	case core.StoreWatch:
		c.watched = append(c.watched, ev.Records...)
	case core.VMList:
		c.lists = append(c.lists, ev)
	}
	next := c.effects
	c.effects = nil
	return next
}

func newRecorder() (*Sim, *recorder) {
	c := &recorder{}
	s := New(Options{Seed: 1})
	s.AddEntry("e", "d1", func(core.Node) core.Reducer { return c })
	return s, c
}

// runOperation runs one operation and returns its result.
func runOperation(s *Sim, c *recorder, e core.Effect) core.StoreResult {
	c.effects = []core.Effect{e}
	s.Run(s.Now().Add(10 * core.Second))
	return c.results[len(c.results)-1]
}

func TestCompareAndSwapComparesRevisions(t *testing.T) {
	s, c := newRecorder()
	first := runOperation(s, c, core.StoreCompareAndSwap{Op: 1, Key: "slots/1", Value: []byte("a")})
	require.True(t, first.Swapped)
	stale := runOperation(s, c, core.StoreCompareAndSwap{Op: 2, Key: "slots/1", Value: []byte("b")})
	require.False(t, stale.Swapped)
	require.False(t, stale.Err)
	got := runOperation(s, c, core.StoreRange{Op: 3, Prefix: "slots/"})
	require.Equal(t, "a", string(got.Records[0].Value))
	second := runOperation(s, c, core.StoreCompareAndSwap{Op: 4, Key: "slots/1", Revision: got.Records[0].Revision, Value: []byte("b")})
	require.True(t, second.Swapped)
	require.Len(t, c.watched, 2)
}

func TestLostResponseOfAppliedSwapIsReportedAsError(t *testing.T) {
	s, c := newRecorder()
	s.Store.SetResponseLoss(1)
	res := runOperation(s, c, core.StoreCompareAndSwap{Op: 1, Key: "k", Value: []byte("a")})
	require.True(t, res.Err)
	require.Equal(t, "a", string(s.Store.Get("k").Value))
	require.Equal(t, uint64(1), s.Store.Stats().LostResponses)
}

func TestOutageFailsOperationsAndDelaysWatch(t *testing.T) {
	s, c := newRecorder()
	s.Store.SetDown(true)
	require.True(t, runOperation(s, c, core.StoreGet{Op: 1, Key: "k"}).Err)
	s.Store.CompareAndSwap(0, "slots/1", 0, []byte("a"))
	s.Run(s.Now().Add(core.Second))
	require.Empty(t, c.watched)
	s.Store.SetDown(false)
	s.Run(s.Now().Add(core.Second))
	require.Len(t, c.watched, 1)
}

func TestSlowServiceTimesOut(t *testing.T) {
	s, c := newRecorder()
	s.Store.SetSlow(core.Minute)
	require.True(t, runOperation(s, c, core.StoreGet{Op: 1, Key: "k"}).Err)
}

func TestVMListOmitsRemovedVMAfterLag(t *testing.T) {
	s, c := newRecorder()
	other := s.AddEntry("x", "d2", func(core.Node) core.Reducer { return &recorder{} })
	s.Run(s.Now().Add(5 * core.Second))
	require.Len(t, c.lists[len(c.lists)-1].VMs, 2)
	other.Remove()
	require.Len(t, s.VMs.List(), 2)
	s.Run(s.Now().Add(5 * core.Second))
	require.Len(t, c.lists[len(c.lists)-1].VMs, 1)
	other.Start()
	require.False(t, other.Running())
}
