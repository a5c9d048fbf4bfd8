package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counts and times of a relay.
type Metrics struct {
	requests     *prometheus.CounterVec
	seconds      *prometheus.HistogramVec
	first        prometheus.Histogram
	connects     prometheus.Counter
	staleAnswers prometheus.Counter
	cachedChains prometheus.Counter
	unlogged     prometheus.Counter
}

// buckets cover a few milliseconds to the longest deadlines, in seconds.
var buckets = []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbsaddle_requests_total", Help: "Requests by priority of their route and by how they ended.",
		}, []string{"kind", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rhubarbsaddle_request_seconds", Help: "Time from arrival to the end of the answer.", Buckets: buckets,
		}, []string{"kind"}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "rhubarbsaddle_first_event_seconds", Help: "Time from arrival to a stream's first event.", Buckets: buckets,
		}),
		connects: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbsaddle_target_connections_total", Help: "New connections to targets.",
		}),
		staleAnswers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbsaddle_stale_answers_total", Help: "Answers of targets that belonged to earlier requests.",
		}),
	}
	m.cachedChains = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "rhubarbsaddle_cached_chains_total", Help: "Chains of turns that were assembled without the ledger.",
	})
	m.unlogged = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "rhubarbsaddle_requests_unlogged_total", Help: "Answered requests without a log line, beyond the bound of lines a second.",
	})
	reg.MustRegister(m.unlogged, m.requests, m.seconds, m.first, m.connects, m.staleAnswers, m.cachedChains)
	return m
}

func (m *Metrics) observe(kind, reason string, took time.Duration) {
	m.requests.WithLabelValues(kind, reason).Inc()
	m.seconds.WithLabelValues(kind).Observe(took.Seconds())
}

func (m *Metrics) firstEvent(after time.Duration) {
	if after > 0 {
		m.first.Observe(after.Seconds())
	}
}
