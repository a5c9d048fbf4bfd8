package resident

import (
	"context"
	"errors"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

type loadRecorder struct{ others *loadboard.Summary }

func (r *loadRecorder) LoadChanged() <-chan struct{} { return nil }
func (r *loadRecorder) LoadReport() loadboard.Report {
	return loadboard.Report{Calls: []loadboard.Count{{Target: 1, Count: 1}}}
}
func (r *loadRecorder) RecordOthers(others loadboard.Summary) { r.others = &others }

func TestExchangePeriodFollowsNumberOfProcesses(t *testing.T) {
	recorder, processes, failure := &loadRecorder{}, 5, error(nil)
	x := &loadExchange{source: recorder, log: &log.Logger{Level: log.PanicLevel}, exchange: func(_ context.Context, own loadboard.Report) (loadboard.Summary, error) {
		assert.Len(t, own.Calls, 1)
		return loadboard.Summary{Processes: processes}, failure
	}}
	assert.Equal(t, minExchangePeriod, x.step(t.Context()))
	assert.Equal(t, &loadboard.Summary{Processes: 5}, recorder.others)

	processes = 200
	assert.Equal(t, 200*exchangePeriodPerProcess, x.step(t.Context()), "the member that all report to is not overloaded")

	failure = errors.New("no member")
	recorder.others = nil
	assert.Equal(t, maxExchangePeriod, x.step(t.Context()))
	assert.Nil(t, recorder.others, "a failed exchange changes nothing")
}
