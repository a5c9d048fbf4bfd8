package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// An attempt whose end is not recorded would count as work left at its target for ever, and one
// that failed says nothing about the work of a call.
func TestWorkOfAttemptsEndsWithThem(t *testing.T) {
	broken := platformtest.NewTarget("i1", platformtest.StreamEvents(6, 2, 0))
	refusing := platformtest.NewTarget("i2", platformtest.RejectUnexecuted(http.StatusServiceUnavailable))
	good := platformtest.NewTarget("i3", platformtest.StreamEvents(6, 0, 5*time.Millisecond))
	b := newTestbed(t, broken, refusing, good)
	for range 6 {
		got := b.call(resumablePath, "x")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status)
	}
	// The target that was reserved for a call that stalled may be released after its answer.
	assert.Eventually(t, func() bool { return len(b.relay.LoadReport().Calls) == 0 }, patience, time.Millisecond)
	assert.EqualValues(t, 6, b.histogramCount("rhubarbsaddle_prediction_error"), "each complete answer counts once")
}

// histogramCount returns the number of observations of a histogram without labels.
func (b *testbed) histogramCount(name string) uint64 {
	b.t.Helper()
	families, err := b.registry.Gather()
	require.NoError(b.t, err)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetHistogram().GetSampleCount()
		}
	}
	return 0
}
