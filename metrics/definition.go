// Package metrics exposes Prometheus metrics about the effects of the reducers (the
// pure state machines under core), the checks of the invariants and the observations
// for the service-level objectives. Every label has a bounded set of values.
// docs/METRICS.md is generated from the definitions in this package.
package metrics

import (
	"fmt"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// namespace is the prefix of the name of every metric.
const namespace = "rhubarbsaddle"

// Kind is the type of a metric.
type Kind string

// Kinds of metric.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Definition defines one metric.
type Definition struct {
	Name   string
	Kind   Kind
	Labels []string
	Help   string
}

// FullName returns the exposed name, with the namespace.
func (d Definition) FullName() string { return namespace + "_" + d.Name }

// counter returns the collector of a counter metric.
func (d Definition) counter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: d.Name, Help: d.Help}, d.Labels)
}

// gauge returns the collector of a gauge metric.
func (d Definition) gauge() *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: d.Name, Help: d.Help}, d.Labels)
}

// histogram returns the collector of a histogram of durations.
func (d Definition) histogram() *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Namespace: namespace, Name: d.Name, Help: d.Help, Buckets: timeBuckets}
	return prometheus.NewHistogramVec(opts, d.Labels)
}

// desc returns the description of a metric whose value is read at collection.
func (d Definition) desc() *prometheus.Desc {
	return prometheus.NewDesc(d.FullName(), d.Help, d.Labels, nil)
}

// timeBuckets are the upper bounds of the buckets of histograms, in seconds.
var timeBuckets = prometheus.ExponentialBuckets(0.001, 2, 18)

var (
	defDecisions = Definition{"decisions_total", Counter, []string{"step", "reason"},
		"Decisions of the reducers, by step and, for refusals and failures, by reason."}
	defWait = Definition{"step_wait_seconds", Histogram, []string{"step"},
		"Time that a call spent in the step that ended with a decision."}
	defCost = Definition{"placement_cost_seconds", Histogram, nil,
		"Estimated cost of the target that won a placement."}
	defTokens = Definition{"tokens_total", Counter, []string{"kind"},
		"Tokens of finished calls: prompt, cached (the part of the prompt found in a prefix cache) and output."}
	defReplies = Definition{"replies_total", Counter, []string{"outcome", "reason"},
		"Final words given to callers, by what is known of the call's execution."}
	defMessages = Definition{"messages_sent_total", Counter, []string{"message"},
		"Messages sent to other processes, by type."}
	defStore = Definition{"store_calls_total", Counter, []string{"call", "result"},
		"Calls of the key-value service that have ended, a watch as one."}
	defPeerErrors = Definition{"peer_errors_total", Counter, nil,
		"Failed calls to peers."}
	defRequests = Definition{"requests_total", Counter, []string{"route", "outcome", "reason"},
		"Requests of callers that have ended, by what is known of the call's execution."}
	defLatency = Definition{"request_seconds", Histogram, []string{"route"},
		"Time from a request's arrival to the end of its answer."}
	defFirstByte = Definition{"first_byte_seconds", Histogram, []string{"route"},
		"Time from a request's arrival to the first part of its answer."}
	defTarget = Definition{"target_operations_total", Counter, []string{"operation"},
		"Operations at the target: start, abort, release_cache and list_cache."}
	defChecks = Definition{"invariant_checks_total", Counter, []string{"promise"},
		"Checks of a promise inside the program."}
	defViolations = Definition{"invariant_violations_total", Counter, []string{"promise"},
		"Violations of a promise; any above zero is a fault of the program."}
	defObservations = Definition{"observations_total", Counter, []string{"measure", "verdict"},
		"Observations for the service-level objectives, by verdict: good or bad."}
	defGeneration = Definition{"config_generation_number", Gauge, nil,
		"Generation of the configuration in force."}
	defWaiting = Definition{"target_waiting_calls", Gauge, nil,
		"Calls that wait at the sidecar."}
	defRunning = Definition{"target_running_calls", Gauge, nil,
		"Calls that run at the target."}
	defLimit = Definition{"target_limit_calls", Gauge, nil,
		"Calls that the sidecar lets run at once."}
	defWaitingTokens = Definition{"target_waiting_tokens", Gauge, nil,
		"Prompt and output work that waits at the sidecar."}
	defCache = Definition{"target_cache_tokens", Gauge, []string{"part"},
		"Prefix cache of the target: its size, the part used and the part pinned for programs in progress."}
	defStepTime = Definition{"target_step_seconds", Gauge, nil,
		"Time of a decode step at the target."}
)

// Definitions returns all metrics in the order of docs/METRICS.md.
func Definitions() []Definition {
	return []Definition{
		defRequests, defLatency, defFirstByte,
		defDecisions, defWait, defCost, defTokens, defReplies, defMessages, defPeerErrors, defStore, defTarget,
		defChecks, defViolations, defObservations, defGeneration,
		defWaiting, defRunning, defLimit, defWaitingTokens, defCache, defStepTime,
	}
}

// Page returns the content of docs/METRICS.md.
func Page() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\n")
	b.WriteString("Every daemon exposes these metrics at `/metrics` of its operators' listener, beside those of\n")
	b.WriteString("the Go runtime and the process. Package `metrics` defines them; generate this page with\n")
	b.WriteString("`go test ./metrics -run TestPage -update`.\n\n")
	b.WriteString("| metric | type | labels | meaning |\n|---|---|---|---|\n")
	for _, d := range Definitions() {
		labels := strings.Join(d.Labels, ", ")
		if labels == "" {
			labels = "none"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.FullName(), d.Kind, labels, d.Help)
	}
	b.WriteString("\n## Values of labels\n\n| label | values |\n|---|---|\n")
	for _, l := range labelValues() {
		fmt.Fprintf(&b, "| %s | `%s` |\n", l.name, strings.Join(l.values, "`, `"))
	}
	return b.String()
}
