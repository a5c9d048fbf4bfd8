package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

// Metrics holds the collectors of one process. It is safe for concurrent use.
type Metrics struct {
	decisions    *prometheus.CounterVec
	wait         *prometheus.HistogramVec
	cost         *prometheus.HistogramVec
	tokens       *prometheus.CounterVec
	replies      *prometheus.CounterVec
	messages     *prometheus.CounterVec
	store        *prometheus.CounterVec
	target       *prometheus.CounterVec
	peerErrors   *prometheus.CounterVec
	requests     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	firstByte    *prometheus.HistogramVec
	observations *prometheus.CounterVec
	generation   *prometheus.GaugeVec
	load         loadGauges
}

// loadGauges show the load of a sidecar's target.
type loadGauges struct {
	waiting, running, limit, waitingTokens, cache, stepTime *prometheus.GaugeVec
}

// New registers the metrics of one process. The recorder may be nil if the process
// checks no invariants.
func New(registry prometheus.Registerer, recorder *invariant.Recorder) (*Metrics, error) {
	m := &Metrics{
		decisions:    defDecisions.counter(),
		wait:         defWait.histogram(),
		cost:         defCost.histogram(),
		tokens:       defTokens.counter(),
		replies:      defReplies.counter(),
		messages:     defMessages.counter(),
		store:        defStore.counter(),
		target:       defTarget.counter(),
		peerErrors:   defPeerErrors.counter(),
		requests:     defRequests.counter(),
		latency:      defLatency.histogram(),
		firstByte:    defFirstByte.histogram(),
		observations: defObservations.counter(),
		generation:   defGeneration.gauge(),
		load: loadGauges{
			waiting:       defWaiting.gauge(),
			running:       defRunning.gauge(),
			limit:         defLimit.gauge(),
			waitingTokens: defWaitingTokens.gauge(),
			cache:         defCache.gauge(),
			stepTime:      defStepTime.gauge(),
		},
	}
	for _, c := range m.collectors(recorder) {
		if err := registry.Register(c); err != nil {
			return nil, &RegisterError{Err: err}
		}
	}
	return m, nil
}

// RegisterError is a failure to register a metric.
type RegisterError struct{ Err error }

// Error returns the cause.
func (e *RegisterError) Error() string { return "register metrics: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RegisterError) Unwrap() error { return e.Err }

func (m *Metrics) collectors(recorder *invariant.Recorder) []prometheus.Collector {
	return []prometheus.Collector{
		m.requests, m.latency, m.firstByte,
		m.decisions, m.wait, m.cost, m.tokens, m.replies, m.messages, m.peerErrors, m.store, m.target,
		&invariantCollector{recorder: recorder}, m.observations, m.generation,
		m.load.waiting, m.load.running, m.load.limit, m.load.waitingTokens, m.load.cache, m.load.stepTime,
	}
}

// RecordEffect records an effect of a reducer.
func (m *Metrics) RecordEffect(effect core.Effect) {
	switch e := effect.(type) {
	case core.Decision:
		m.decision(e)
	case core.Send:
		m.messages.WithLabelValues(messageName(e.Msg)).Inc()
		if report, ok := e.Msg.(core.LoadReport); ok {
			m.SetLoad(report.Load)
		}
	case core.Reply:
		m.replies.WithLabelValues(e.Finish.Outcome.String(), reasonLabel(e.Finish.Reason)).Inc()
	case core.StartTarget:
		m.target.WithLabelValues("start").Inc()
	case core.AbortTarget:
		m.target.WithLabelValues("abort").Inc()
	case core.ReleaseCache:
		m.target.WithLabelValues("release_cache").Inc()
	case core.ListCache:
		m.target.WithLabelValues("list_cache").Inc()
	}
}

// decision updates the metrics about decisions.
func (m *Metrics) decision(d core.Decision) {
	step := bounded(d.Step, steps)
	m.decisions.WithLabelValues(step, reasonLabel(d.Reason)).Inc()
	if d.Wait > 0 {
		m.wait.WithLabelValues(step).Observe(seconds(d.Wait))
	}
	if d.Step == "place" {
		m.cost.WithLabelValues().Observe(seconds(d.Cost))
	}
	if d.Step == "finish" {
		m.tokens.WithLabelValues("prompt").Add(float64(d.Usage.PromptTokens))
		m.tokens.WithLabelValues("cached").Add(float64(d.Usage.CachedTokens))
		m.tokens.WithLabelValues("output").Add(float64(d.Usage.OutputTokens))
	}
}

// RecordRequest records a finished request of a caller. elapsed and firstByte are the
// times from its arrival to the end and to the first part of its answer; a firstByte
// of zero means that no part of an answer was sent.
func (m *Metrics) RecordRequest(route string, outcome core.Outcome, reason core.Reason, elapsed, firstByte time.Duration) {
	route = bounded(route, routes)
	m.requests.WithLabelValues(route, outcome.String(), reasonLabel(reason)).Inc()
	m.latency.WithLabelValues(route).Observe(elapsed.Seconds())
	if firstByte > 0 {
		m.firstByte.WithLabelValues(route).Observe(firstByte.Seconds())
	}
}

// RecordStoreCall counts a finished call to the key-value service.
func (m *Metrics) RecordStoreCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.store.WithLabelValues(bounded(call, storeCalls), result).Inc()
}

// RecordPeerError counts a failed call to a peer.
func (m *Metrics) RecordPeerError() { m.peerErrors.WithLabelValues().Inc() }

// RecordObservation counts an observation as good or bad.
func (m *Metrics) RecordObservation(o observe.Observation) {
	verdict := "bad"
	if o.Good {
		verdict = "good"
	}
	m.observations.WithLabelValues(bounded(string(o.Measure), measures), verdict).Inc()
}

// SetLoad sets the gauges of the load of a sidecar's target.
func (m *Metrics) SetLoad(l core.Load) {
	m.load.waiting.WithLabelValues().Set(float64(l.Waiting))
	m.load.running.WithLabelValues().Set(float64(l.Running))
	m.load.limit.WithLabelValues().Set(float64(l.Limit))
	m.load.waitingTokens.WithLabelValues().Set(float64(l.WaitingTokens))
	m.load.cache.WithLabelValues("size").Set(float64(l.CacheTokens))
	m.load.cache.WithLabelValues("used").Set(float64(l.CacheUsed))
	m.load.cache.WithLabelValues("pinned").Set(float64(l.CachePinned))
	m.load.stepTime.WithLabelValues().Set(seconds(l.StepTime))
}

// SetGeneration sets the gauge of the generation of the configuration in force.
func (m *Metrics) SetGeneration(n uint64) { m.generation.WithLabelValues().Set(float64(n)) }

// seconds returns a duration in seconds.
func seconds(d core.Duration) float64 { return float64(d) / float64(core.Second) }

// invariantCollector exposes the counts of a recorder. It reads them at each
// collection.
type invariantCollector struct{ recorder *invariant.Recorder }

// Describe implements prometheus.Collector.
func (p *invariantCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- defChecks.desc()
	ch <- defViolations.desc()
}

// Collect implements prometheus.Collector.
func (p *invariantCollector) Collect(ch chan<- prometheus.Metric) {
	if p.recorder == nil {
		return
	}
	checksDesc, violationsDesc := defChecks.desc(), defViolations.desc()
	for inv := range invariant.Count {
		name := inv.String()
		checked, violated := float64(p.recorder.Checks(inv)), float64(p.recorder.Violations(inv))
		ch <- prometheus.MustNewConstMetric(checksDesc, prometheus.CounterValue, checked, name)
		ch <- prometheus.MustNewConstMetric(violationsDesc, prometheus.CounterValue, violated, name)
	}
}
