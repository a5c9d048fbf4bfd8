package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

const namespace = "rhubarbsaddle"

// latencyBuckets are in seconds, from half a millisecond to five minutes.
var latencyBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 300}

// Metrics are the node's metrics, in a registry of its own.
type Metrics struct {
	registry *prometheus.Registry

	decisions  *prometheus.CounterVec
	waits      *prometheus.HistogramVec
	tokens     *prometheus.CounterVec
	storeCalls *prometheus.CounterVec
	peerErrors prometheus.Counter
	requests   *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	firstByte  *prometheus.HistogramVec
}

func newMetrics(n *Node) *Metrics {
	m := &Metrics{
		registry:   prometheus.NewRegistry(),
		decisions:  counters("decisions_total", "Decisions of the reducer.", "step", "reason"),
		waits:      histograms("step_wait_seconds", "Time spent in a step of a call.", "step"),
		tokens:     counters("tokens_total", "Tokens of calls that have run.", "kind"),
		storeCalls: counters("store_calls_total", "Calls of the key-value service.", "step", "result"),
		peerErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "peer_errors_total", Help: "Failed calls to peers.",
		}),
		requests:  counters("requests_total", "Requests of callers.", "route", "outcome", "reason"),
		latency:   histograms("request_seconds", "Time from a request's arrival to the end of its answer.", "route"),
		firstByte: histograms("first_byte_seconds", "Time from a request's arrival to its answer's first part.", "route"),
	}
	m.registry.MustRegister(m.decisions, m.waits, m.tokens, m.storeCalls, m.peerErrors,
		m.requests, m.latency, m.firstByte,
		collectors.NewGoCollector(), &promises{recorder: n.Invariants})
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "config_generation", Help: "Generation of the configuration in force.",
	}, func() float64 { return float64(n.Generation()) }))
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
}

// Register adds a collector of the role.
func (m *Metrics) Register(c prometheus.Collector) { m.registry.MustRegister(c) }

// Request counts a finished request of a caller.
func (m *Metrics) Request(route string, outcome core.Outcome, reason core.Reason, elapsed, firstByte time.Duration) {
	m.requests.WithLabelValues(route, outcome.String(), string(reason)).Inc()
	m.latency.WithLabelValues(route).Observe(elapsed.Seconds())
	if firstByte > 0 {
		m.firstByte.WithLabelValues(route).Observe(firstByte.Seconds())
	}
}

func (m *Metrics) decided(d core.Decision) {
	m.decisions.WithLabelValues(d.Step, string(d.Reason)).Inc()
	if d.Wait > 0 {
		m.waits.WithLabelValues(d.Step).Observe(time.Duration(d.Wait).Seconds())
	}
	if d.Usage == (core.Usage{}) {
		return
	}
	m.tokens.WithLabelValues("prompt").Add(float64(d.Usage.PromptTokens))
	m.tokens.WithLabelValues("cached").Add(float64(d.Usage.CachedTokens))
	m.tokens.WithLabelValues("output").Add(float64(d.Usage.OutputTokens))
}

func outcomeLabel(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}

// promises collects the counters of the invariants.
type promises struct{ recorder *invariant.Recorder }

var (
	checksDesc = prometheus.NewDesc(namespace+"_promise_checks_total",
		"Checks of the promises inside the process.", []string{"promise"}, nil)
	violationsDesc = prometheus.NewDesc(namespace+"_promise_violations_total",
		"Violations of the promises inside the process.", []string{"promise"}, nil)
)

// Describe sends the descriptions of the counters.
func (p *promises) Describe(ch chan<- *prometheus.Desc) {
	ch <- checksDesc
	ch <- violationsDesc
}

// Collect sends the counters.
func (p *promises) Collect(ch chan<- prometheus.Metric) {
	for promise := range invariant.Count {
		name := promise.String()
		ch <- prometheus.MustNewConstMetric(checksDesc, prometheus.CounterValue,
			float64(p.recorder.Checks(promise)), name)
		ch <- prometheus.MustNewConstMetric(violationsDesc, prometheus.CounterValue,
			float64(p.recorder.Violations(promise)), name)
	}
}
