package capacity

import (
	"fmt"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/bench/path"
	"github.com/rhubarbsaddle/rhubarbsaddle/bench/slopes"
)

// Measured is what the capacity follows from.
type Measured struct {
	Slopes slopes.Report
	Path   path.Result
}

// MissingSlopeError names a slope that the measurements lack.
type MissingSlopeError struct{ Name string }

// Error names the slope.
func (e *MissingSlopeError) Error() string { return "slope " + e.Name + " was not measured" }

// worker looks slopes up and remembers the first that is missing.
type worker struct {
	size     Size
	measured *Measured
	rows     []Row
	err      error
}

// Rows works out the costs of all roles.
func Rows(size Size, measured *Measured) ([]Row, error) {
	w := &worker{size: size, measured: measured}
	w.entryMemory()
	w.entryControl()
	w.entryCalls()
	w.sidecar()
	w.store()
	return w.rows, w.err
}

func (w *worker) add(r Row) { w.rows = append(w.rows, r) }

// slope returns the cost of one more unit.
func (w *worker) slope(name string) float64 {
	s := w.measured.Slopes.Slope(name)
	if s == nil {
		if w.err == nil {
			w.err = &MissingSlopeError{Name: name}
		}
		return 0
	}
	return s.PerUnit
}

// fixed returns the cost at size zero.
func (w *worker) fixed(name string) float64 {
	if s := w.measured.Slopes.Slope(name); s != nil {
		return max(s.Fixed, 0)
	}
	return 0
}

const mega = 1e6

func (w *worker) entryMemory() {
	idle := float64(w.measured.Path.EntryIdle)
	copies := w.size.copiesPerEntry()
	records := copies * w.slope("program_copy_bytes")
	perTarget := w.slope("target_heap_bytes")
	subset := w.size.targetSubset() * perTarget
	w.add(Row{
		Role: "entry", Resource: "memory, program records", Value: records / mega, Unit: "MB",
		Calculation: fmt.Sprintf("%.0f copies × %.0f B", copies, w.slope("program_copy_bytes")),
		Mechanism:   "records without conversation text, slot mirrors", Implemented: true,
	})
	w.add(Row{
		Role: "entry", Resource: "memory, subset of targets", Value: (idle + records + subset) / mega, Unit: "MB", Limit: maxControlMemoryBytes / mega,
		Calculation: fmt.Sprintf("idle + records + %.0f targets × %.0f B", w.size.targetSubset(), perTarget),
		Mechanism:   "rendezvous subset of each pool; the others cost a list entry each, not measured", Implemented: true,
	})
}

// entryControl adds processor time and bytes of an entry's control traffic.
func (w *worker) entryControl() {
	near, known := w.size.peerSubset(), w.size.targetSubset()
	far, other := float64(w.size.Entries-1)-near, float64(w.size.Targets)-known
	mechanism := "heartbeats to fellow members of slots and 16 neighbours, an eighth of them to the others; rendezvous subset of targets"
	parts := []part{
		{near, "near peers", "entry_peer_"},
		{far, "far peers", "entry_far_peer_"},
		{known, "known targets", "entry_target_"},
		{other, "other targets", "entry_other_target_"},
	}
	fixed := w.fixed("entry_target_microseconds")
	micros, working := w.sum(parts, "microseconds", "µs")
	w.add(Row{
		Role: "entry", Resource: "control processor time", Value: (fixed + micros) / 1e4, Unit: "% of a core", Limit: maxControlCPUPercent,
		Calculation: fmt.Sprintf("%.0f µs + %s, a second", fixed, working), Mechanism: mechanism, Implemented: true,
	})
	bytes, working := w.sum(parts, "bytes", "B")
	w.add(Row{
		Role: "entry", Resource: "control bytes", Value: bytes / 1e3, Unit: "KB/s", Limit: maxControlBytes / 1e3,
		Calculation: working + ", a second", Mechanism: mechanism, Implemented: true,
	})
}

// part is a number of units whose slopes have a common prefix.
type part struct {
	count float64
	unit  string
	slope string
}

// sum returns the cost of all parts and its working. A slope below zero is the
// noise of the measurement and counts as zero.
func (w *worker) sum(parts []part, suffix, unit string) (float64, string) {
	var total float64
	var working []string
	for _, p := range parts {
		each := max(0, w.slope(p.slope+suffix))
		total += p.count * each
		working = append(working, fmt.Sprintf("%.0f %s × %.2g %s", p.count, p.unit, each, unit))
	}
	return total, strings.Join(working, " + ")
}

func (w *worker) entryCalls() {
	calls := w.size.callsPerEntry()
	micros := calls * w.slope("entry_call_microseconds")
	w.add(Row{
		Role: "entry", Resource: "decisions for calls", Value: micros / 1e4, Unit: "% of a core",
		Calculation: fmt.Sprintf("%.1f calls/s × %.3g µs", calls, w.slope("entry_call_microseconds")),
		Mechanism:   "one reducer an entry", Implemented: true,
	})
	w.add(Row{
		Role: "entry", Resource: "bytes for calls, without prompts and answers", Value: calls * w.slope("entry_call_bytes") / 1e3, Unit: "KB/s",
		Calculation: fmt.Sprintf("%.1f calls/s × %.0f B, %.1f messages a call", calls, w.slope("entry_call_bytes"), w.slope("entry_call_messages")),
		Mechanism:   "one batch a step for each peer", Implemented: true,
	})
	if w.measured.Path.CallsPerCore > 0 {
		share := calls / w.measured.Path.CallsPerCore * 100
		w.add(Row{
			Role: "entry and sidecars", Resource: "data path: HTTP, encoding, sockets", Value: share, Unit: "% of a core",
			Calculation: fmt.Sprintf("%.1f calls/s ÷ %.0f calls/s a core (bench path)", calls, w.measured.Path.CallsPerCore),
			Mechanism:   "answers go from the sidecar to the caller's entry, past the home", Implemented: true,
		})
	}
}

func (w *worker) sidecar() {
	perListener := w.slope("sidecar_listener_bytes")
	subset := w.size.listenersOfSubset()
	w.add(Row{
		Role: "sidecar", Resource: "load reports", Value: subset * perListener / 1e3, Unit: "KB/s", Limit: maxControlBytes / 1e3,
		Calculation: fmt.Sprintf("%.0f listening entries × %.3g B a second", subset, perListener),
		Mechanism:   "rendezvous subset of each pool", Implemented: true,
	})
	w.add(Row{
		Role: "sidecar", Resource: "decisions for calls", Value: w.size.callsPerTarget() * w.slope("sidecar_call_microseconds") / 1e4, Unit: "% of a core",
		Calculation: fmt.Sprintf("%.1f calls/s × %.3g µs", w.size.callsPerTarget(), w.slope("sidecar_call_microseconds")),
		Mechanism:   "one reducer a sidecar", Implemented: true,
	})
	w.add(Row{
		Role: "sidecar", Resource: "memory, idle", Value: float64(w.measured.Path.SidecarIdle) / mega, Unit: "MB", Limit: maxControlMemoryBytes / mega,
		Calculation: "bench path", Mechanism: "one small process a target", Implemented: true,
	})
	bodies := w.size.Programs * historyTokens * historyCopies / float64(w.size.Targets)
	w.add(Row{
		Role: "sidecar", Resource: "memory, kept conversations, all at full length", Value: bodies * w.slope("history_token_bytes") / mega, Unit: "MB",
		Calculation: fmt.Sprintf("%.0f tokens × %.3g B (stand-in's text), two copies", bodies, w.slope("history_token_bytes")),
		Mechanism:   "compressed bodies, bounded store, spool on VMs with a disk", Implemented: true,
	})
}
