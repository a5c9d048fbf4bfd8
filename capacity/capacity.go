package capacity

import (
	"fmt"

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
	all := float64(w.size.Targets) * perTarget
	subset := w.size.targetSubset() * perTarget
	w.add(Row{
		Role: "entry", Resource: "memory, program records", Value: records / mega, Unit: "MB",
		Working:   fmt.Sprintf("%.0f copies × %.0f B", copies, w.slope("program_copy_bytes")),
		Mechanism: "records without conversation text, slot mirrors", Built: true,
	})
	w.add(Row{
		Role: "entry", Resource: "memory, all targets known", Value: (idle + records + all) / mega, Unit: "MB", Limit: maxControlMemoryBytes / mega,
		Working:   fmt.Sprintf("idle %.0f MB + records + %d targets × %.0f B (with their stand-ins)", idle/mega, w.size.Targets, perTarget),
		Mechanism: "full view of the targets", Built: true,
	})
	w.add(Row{
		Role: "entry", Resource: "memory, subset of targets", Value: (idle + records + subset) / mega, Unit: "MB", Limit: maxControlMemoryBytes / mega,
		Working:   fmt.Sprintf("idle + records + %.0f targets × %.0f B", w.size.targetSubset(), perTarget),
		Mechanism: "rendezvous subset of each pool", Built: false,
	})
}

func (w *worker) entryControl() {
	peers, targets := float64(w.size.Entries-1), float64(w.size.Targets)
	w.controlRows("full mesh", "heartbeats to all entries, load reports of all targets", true, peers, targets)
	w.controlRows("subsets", "heartbeats to members of own slots and a few more, rendezvous subset of targets", false,
		w.size.peerSubset(), w.size.targetSubset())
}

// controlRows adds processor time and bytes of an entry's control traffic.
func (w *worker) controlRows(name, mechanism string, built bool, peers, targets float64) {
	fixed := w.fixed("entry_target_microseconds")
	micros := fixed + peers*w.slope("entry_peer_microseconds") + targets*w.slope("entry_target_microseconds")
	bytes := peers*w.slope("entry_peer_bytes") + targets*w.slope("entry_target_bytes")
	w.add(Row{
		Role: "entry", Resource: "control processor time, " + name, Value: micros / 1e4, Unit: "% of a core", Limit: maxControlCPUPercent,
		Working: fmt.Sprintf("%.0f µs + %.0f peers × %.3g µs + %.0f targets × %.2g µs, a second",
			fixed, peers, w.slope("entry_peer_microseconds"), targets, w.slope("entry_target_microseconds")),
		Mechanism: mechanism, Built: built,
	})
	w.add(Row{
		Role: "entry", Resource: "control bytes, " + name, Value: bytes / 1e3, Unit: "KB/s", Limit: maxControlBytes / 1e3,
		Working: fmt.Sprintf("%.0f peers × %.3g B + %.0f targets × %.3g B, a second",
			peers, w.slope("entry_peer_bytes"), targets, w.slope("entry_target_bytes")),
		Mechanism: mechanism, Built: built,
	})
}

func (w *worker) entryCalls() {
	calls := w.size.callsPerEntry()
	micros := calls * w.slope("entry_call_microseconds")
	w.add(Row{
		Role: "entry", Resource: "decisions for calls", Value: micros / 1e4, Unit: "% of a core",
		Working:   fmt.Sprintf("%.1f calls/s × %.3g µs", calls, w.slope("entry_call_microseconds")),
		Mechanism: "one reducer an entry", Built: true,
	})
	w.add(Row{
		Role: "entry", Resource: "bytes for calls, without prompts and answers", Value: calls * w.slope("entry_call_bytes") / 1e3, Unit: "KB/s",
		Working:   fmt.Sprintf("%.1f calls/s × %.0f B, %.1f messages a call", calls, w.slope("entry_call_bytes"), w.slope("entry_call_messages")),
		Mechanism: "one batch a step for each peer", Built: true,
	})
	if w.measured.Path.CallsPerCore > 0 {
		share := calls / w.measured.Path.CallsPerCore * 100
		w.add(Row{
			Role: "entry and sidecars", Resource: "data path: HTTP, encoding, sockets", Value: share, Unit: "% of a core",
			Working:   fmt.Sprintf("%.1f calls/s ÷ %.0f calls/s a core (bench path)", calls, w.measured.Path.CallsPerCore),
			Mechanism: "answers go from the sidecar to the caller's entry, past the home", Built: true,
		})
	}
}

func (w *worker) sidecar() {
	listeners := float64(w.size.Entries)
	perListener := w.slope("sidecar_listener_bytes")
	w.add(Row{
		Role: "sidecar", Resource: "load reports, full mesh", Value: listeners * perListener / 1e3, Unit: "KB/s", Limit: maxControlBytes / 1e3,
		Working:   fmt.Sprintf("%.0f listening entries × %.3g B a second", listeners, perListener),
		Mechanism: "reports to every entry that asks", Built: true,
	})
	subset := w.size.listenersOfSubset()
	w.add(Row{
		Role: "sidecar", Resource: "load reports, subsets", Value: subset * perListener / 1e3, Unit: "KB/s", Limit: maxControlBytes / 1e3,
		Working:   fmt.Sprintf("%.0f listening entries × %.3g B a second", subset, perListener),
		Mechanism: "rendezvous subset of each pool", Built: false,
	})
	w.add(Row{
		Role: "sidecar", Resource: "decisions for calls", Value: w.size.callsPerTarget() * w.slope("sidecar_call_microseconds") / 1e4, Unit: "% of a core",
		Working:   fmt.Sprintf("%.1f calls/s × %.3g µs", w.size.callsPerTarget(), w.slope("sidecar_call_microseconds")),
		Mechanism: "one reducer a sidecar", Built: true,
	})
	w.add(Row{
		Role: "sidecar", Resource: "memory, idle", Value: float64(w.measured.Path.SidecarIdle) / mega, Unit: "MB", Limit: maxControlMemoryBytes / mega,
		Working: "bench path", Mechanism: "one small process a target", Built: true,
	})
}
