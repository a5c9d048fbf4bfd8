package relay

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/quota"
)

// Metrics are the Prometheus metrics of a relay.
type Metrics struct {
	requests        *prometheus.CounterVec
	duration        *prometheus.HistogramVec
	firstEventDelay prometheus.Histogram
	connects        prometheus.Counter
	staleResponses  prometheus.Counter
	unreachable     prometheus.Counter
	unlogged        prometheus.Counter
	permits         *prometheus.CounterVec
	lostByCrash     prometheus.Counter
	condemned       prometheus.Counter
	accounts        *prometheus.CounterVec
	accountLabels   accountLabels
	quotas          *prometheus.CounterVec
	programs        *prometheus.CounterVec
	predictionError prometheus.Histogram
	targetBytes     *prometheus.CounterVec
}

// buckets are in seconds and range from a few milliseconds to the longest deadlines.
var buckets = []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4}

// errorBuckets are shares of the predicted time.
var errorBuckets = []float64{.05, .1, .2, .4, .8, 1.6, 3.2}

// NewMetrics creates the metrics and registers them with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbsaddle_requests_total", Help: "Requests by priority of their route and by how they ended.",
		}, []string{"kind", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rhubarbsaddle_request_seconds", Help: "Time from arrival to the end of the answer.", Buckets: buckets,
		}, []string{"kind"}),
		firstEventDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "rhubarbsaddle_first_event_seconds", Help: "Time from arrival to a stream's first event.", Buckets: buckets,
		}),
		connects: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbsaddle_target_connections_total", Help: "New connections to targets.",
		}),
		staleResponses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbsaddle_stale_answers_total", Help: "Answers of targets that belonged to earlier requests.",
		}),
	}
	m.unreachable = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "rhubarbsaddle_target_connections_unreachable_total", Help: "Connections closed because their target became unreachable while it had not read a large request.",
	})
	m.unlogged = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "rhubarbsaddle_requests_unlogged_total", Help: "Answered requests without a log line, beyond the bound of lines a second.",
	})
	m.permits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "rhubarbsaddle_target_permits_total", Help: "Permits asked for targets with a rate limit, by whether they were granted.",
	}, []string{"granted"})
	m.lostByCrash = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "rhubarbsaddle_attempts_lost_by_crash_total", Help: "Attempts that were in flight at a target when its process ended.",
	})
	m.condemned = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "rhubarbsaddle_requests_condemned_total", Help: "Requests found to crash targets, which are refused from then on; each is counted once.",
	})
	m.accounts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "rhubarbsaddle_account_requests_total", Help: "Requests with the key of a client account; the accounts beyond the first 256 count as other.",
	}, []string{"account"})
	m.quotas = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "rhubarbsaddle_quota_decisions_total", Help: "Requests of accounts with a quota, by how it was decided whether they are within it.",
	}, []string{"outcome"})
	m.programs = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "rhubarbsaddle_programs_total", Help: "Programs that asked to start, by decision.",
	}, []string{"decision"})
	m.predictionError = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "rhubarbsaddle_prediction_error", Help: "Difference between the time that an attempt took and the predicted time, relative to the latter.",
		Buckets: errorBuckets,
	})
	m.targetBytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "rhubarbsaddle_target_bytes_total", Help: "Bytes of bodies exchanged with targets, by direction and by whether the target is in another failure domain.",
	}, []string{"direction", "crosses_domain"})
	reg.MustRegister(m.accounts, m.quotas, m.programs, m.targetBytes, m.predictionError, m.lostByCrash, m.condemned, m.unlogged, m.permits, m.requests, m.duration, m.firstEventDelay, m.connects, m.staleResponses, m.unreachable)
	return m
}

func (m *Metrics) observeRequest(kind, reason string, duration time.Duration) {
	m.requests.WithLabelValues(kind, reason).Inc()
	m.duration.WithLabelValues(kind).Observe(duration.Seconds())
}

func (m *Metrics) countProgram(a fleet.Admission) { m.programs.WithLabelValues(a.String()).Inc() }

func (m *Metrics) countPermit(granted bool) {
	m.permits.WithLabelValues(strconv.FormatBool(granted)).Inc()
}

func (m *Metrics) countQuota(outcome quota.Outcome) {
	m.quotas.WithLabelValues(outcome.String()).Inc()
}

// Directions of bytes.
const (
	sent     = "sent"
	received = "received"
)

func (m *Metrics) countTargetBytes(direction string, crossesDomain bool, n int) {
	m.targetBytes.WithLabelValues(direction, strconv.FormatBool(crossesDomain)).Add(float64(n))
}

func (m *Metrics) observeFirstEvent(delay time.Duration) {
	if delay > 0 {
		m.firstEventDelay.Observe(delay.Seconds())
	}
}

func (m *Metrics) countAccount(name string) {
	m.accounts.WithLabelValues(m.accountLabels.labelOf(name)).Inc()
}

const (
	// maxAccountLabels bounds the accounts that have their own value of the metric label.
	maxAccountLabels = 256
	// otherAccounts is the label of all further ones.
	otherAccounts = "other"
)

// accountLabels are the accounts that have their own label. It is safe for concurrent use.
type accountLabels struct {
	mu    sync.Mutex
	names map[string]struct{}
}

func (l *accountLabels) labelOf(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.names[name]; ok {
		return name
	}
	if len(l.names) >= maxAccountLabels {
		return otherAccounts
	}
	if l.names == nil {
		l.names = make(map[string]struct{})
	}
	l.names[name] = struct{}{}
	return name
}
