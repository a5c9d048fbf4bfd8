package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	defaultHeartbeat       = 100 * core.Millisecond
	defaultSuspectAfter    = 1 * core.Second
	defaultListLag         = 30 * core.Second
	defaultAnswerRetention = 10 * core.Minute
	defaultCallTimeout     = 10 * core.Minute
	defaultIdle            = 1 * core.Hour
	defaultAge             = 24 * core.Hour
	defaultSlots           = 64

	// noTargetWait bounds the wait of a call for a pool with no usable target.
	noTargetWait = 2 * core.Second
	// gapWait bounds the wait of a call for an earlier sequence number.
	gapWait = 10 * core.Second
	// refusalRetention is how long a request that was answered as not run is
	// remembered; later copies of its forward are taken to be impossible.
	refusalRetention = 1 * core.Minute
	// queryAfter is the silence of a sidecar about a dispatched attempt after
	// which its outcome is asked for.
	queryAfter = 500 * core.Millisecond
	// pollAfter is the same for an attempt that the sidecar has acknowledged.
	pollAfter = 5 * core.Second
	// edgeGrace is added to a call's timeout at its edge, so that the home's
	// own answer to the timeout arrives first.
	edgeGrace = 2 * core.Second
	// maxForwardPeriod bounds the growing period of repeated forwards.
	maxForwardPeriod = 16 * core.Second
	// retryHint is told to callers when no better estimate is known.
	retryHint = 1 * core.Second
	// targetSilence is the age of a load report beyond which a target gets no
	// new dispatch.
	targetSilence = 3 * core.Second
	// reportLate is the age of a load report beyond which the next one is late.
	reportLate = 1500 * core.Millisecond
	// helloPeriod is the period of the subscription to load reports.
	helloPeriod = 1 * core.Second
)

// times are the time limits of the configuration in force.
type times struct {
	heartbeat core.Duration
	suspect   core.Duration
	listLag   core.Duration
	retention core.Duration
}

func timesOf(set *config.Set) times {
	t := times{defaultHeartbeat, defaultSuspectAfter, defaultListLag, defaultAnswerRetention}
	if set == nil {
		return t
	}
	t.heartbeat = orDefault(set.Ownership.Heartbeat.Nanos(), t.heartbeat)
	t.suspect = orDefault(set.Ownership.SuspectAfter.Nanos(), t.suspect)
	t.listLag = orDefault(set.Ownership.VMListLag.Nanos(), t.listLag)
	t.retention = orDefault(set.Ownership.AnswerRetention.Nanos(), t.retention)
	return t
}

// orDefault returns v, or def if v is zero.
func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
