package relay

import (
	"sync/atomic"
	"time"
)

// silence ends an attempt whose stream pauses for too long, so that another
// target can continue it.
type silence struct {
	timer *time.Timer
	gap   time.Duration
	over  atomic.Bool
}

// watchSilence starts to watch a stream. One that cannot be resumed is left to
// its deadline, since nothing is won by ending it.
func (t *turn) watchSilence(a *attempt) *silence {
	s := &silence{gap: time.Duration(gapFactor * float64(t.route.GapTarget))}
	if !t.route.Resumable || s.gap <= 0 || t.runs >= t.route.MaxTargets {
		return s
	}
	s.timer = time.AfterFunc(firstEventSilence, func() {
		s.over.Store(true)
		// The read that waits fails.
		_ = a.conn.nc.SetReadDeadline(time.Unix(1, 0))
	})
	return s
}

func (s *silence) heard() {
	if s.timer != nil && s.timer.Stop() {
		s.timer.Reset(s.gap)
	}
}

func (s *silence) fired() bool { return s.over.Load() }

func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
