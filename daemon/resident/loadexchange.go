package resident

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

const (
	// minExchangePeriod is the shortest time between two exchanges of load. It is a fraction
	// of the duration of a turn.
	minExchangePeriod = 40 * time.Millisecond
	// exchangePeriodPerProcess bounds the exchanges per second at the member that all
	// processes report to.
	exchangePeriodPerProcess = time.Millisecond
	// maxExchangePeriod is the time between two exchanges while calls are in flight and none
	// starts or ends. It is shorter than the time for which a report counts.
	maxExchangePeriod = 300 * time.Millisecond
	// idleExchangePeriod is the time between two exchanges while there is nothing to report.
	// What others have found out must be known before the next call arrives.
	idleExchangePeriod = time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 200 * time.Millisecond
)

// loadSource is the part of a relay whose load is exchanged.
type loadSource interface {
	LoadChanged() <-chan struct{}
	LoadReport() loadboard.Report
	RecordOthers(loadboard.Summary)
}

// exchangeFunc reports a process's load and returns that of all others.
type exchangeFunc func(ctx context.Context, own loadboard.Report) (loadboard.Summary, error)

// loadExchange exchanges the load with the other entries, through a ledger
// member. Between exchanges, and while no member responds, the relay relies on what
// targets report with their answers.
type loadExchange struct {
	source   loadSource
	exchange exchangeFunc
	log      *log.Logger
	// isLost is set after a failed exchange, hasExchanged after the first one that succeeded.
	isLost, hasExchanged bool
}

// run exchanges the load after each change, often while calls are in flight and now and then
// while there are none, until ctx ends.
func (x *loadExchange) run(ctx context.Context) {
	for !x.hasExchanged && ctx.Err() == nil {
		ctxwait.Sleep(ctx, x.step(ctx))
	}
	last := time.Now()
	for ctx.Err() == nil {
		refresh := time.NewTimer(maxExchangePeriod)
		select {
		case <-x.source.LoadChanged():
		case <-refresh.C:
			own := x.source.LoadReport()
			if len(own.Calls)+len(own.Failing)+len(own.Facts) == 0 && time.Since(last) < idleExchangePeriod {
				continue
			}
		case <-ctx.Done():
		}
		refresh.Stop()
		last = time.Now()
		ctxwait.Sleep(ctx, x.step(ctx))
	}
}

// step makes one exchange and returns the time until the next one.
func (x *loadExchange) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	others, err := x.exchange(ctx, x.source.LoadReport())
	if err != nil {
		if !x.hasExchanged {
			x.log.Debug().Str("event", "load_exchange_lost").Err(err).Msg("no member is connected yet")
			return minExchangePeriod
		}
		if !x.isLost {
			x.log.Info().Str("event", "load_exchange_lost").Err(err).Msg("the load of other entries is not known")
		}
		x.isLost = true
		return maxExchangePeriod
	}
	if x.isLost {
		x.log.Info().Str("event", "load_exchange_regained").Int("processes", others.Processes).Msg("")
	}
	x.isLost, x.hasExchanged = false, true
	x.source.RecordOthers(others)
	return max(minExchangePeriod, time.Duration(others.Processes)*exchangePeriodPerProcess)
}
