package capacity

import (
	"fmt"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/bench/path"
	"github.com/rhubarbsaddle/rhubarbsaddle/bench/slopes"
)

// Measured holds the measurements from which the costs are computed.
type Measured struct {
	Slopes slopes.Report
	Path   path.Result
}

// MissingSlopeError reports a slope that the measurements don't have.
type MissingSlopeError struct{ Name string }

// Error returns the message with the slope's name.
func (e *MissingSlopeError) Error() string { return "slope " + e.Name + " was not measured" }

// calculator computes rows from slopes and stores an error for the first missing
// slope.
type calculator struct {
	size     Size
	measured *Measured
	rows     []Row
	err      error
}

// Rows computes the costs of all roles. It returns a *MissingSlopeError if the
// measurements lack a slope.
func Rows(size Size, measured *Measured) ([]Row, error) {
	c := &calculator{size: size, measured: measured}
	c.entryMemoryRows()
	c.entryControlRows()
	c.entryCallRows()
	c.sidecarRows()
	c.storeRows()
	return c.rows, c.err
}

func (c *calculator) add(r Row) { c.rows = append(c.rows, r) }

// slope returns the cost per unit of a slope. If the slope was not measured, it
// stores an error and returns zero.
func (c *calculator) slope(name string) float64 {
	s := c.measured.Slopes.Slope(name)
	if s == nil {
		if c.err == nil {
			c.err = &MissingSlopeError{Name: name}
		}
		return 0
	}
	return s.PerUnit
}

// fixed returns the cost of a slope at size zero, or zero if this cost is
// negative or was not measured.
func (c *calculator) fixed(name string) float64 {
	if s := c.measured.Slopes.Slope(name); s != nil {
		return max(s.Fixed, 0)
	}
	return 0
}

const mega = 1e6

func (c *calculator) entryMemoryRows() {
	idle := float64(c.measured.Path.EntryIdleBytes)
	copies := c.size.copiesPerEntry()
	records := copies * c.slope("program_copy_bytes")
	perTarget := c.slope("target_heap_bytes")
	subset := c.size.targetSubset() * perTarget
	c.add(Row{
		Role: "entry", Resource: "memory, program records", Value: records / mega, Unit: "MB",
		Calculation: fmt.Sprintf("%.0f copies × %.0f B", copies, c.slope("program_copy_bytes")),
		Mechanism:   "records without conversation text, slot replicas", Implemented: true,
	})
	c.add(Row{
		Role: "entry", Resource: "memory, subset of targets", Value: (idle + records + subset) / mega, Unit: "MB", Limit: maxControlMemoryBytes / mega,
		Calculation: fmt.Sprintf("idle + records + %.0f targets × %.0f B", c.size.targetSubset(), perTarget),
		Mechanism:   "rendezvous subset of each pool; the others cost a list entry each, not measured", Implemented: true,
	})
}

// entryControlRows adds the rows for the processor time and the bytes of an
// entry's control traffic.
func (c *calculator) entryControlRows() {
	fullRate, inSubset := c.size.peerSubset(), c.size.targetSubset()
	reducedRate, outsideSubset := float64(c.size.Entries-1)-fullRate, float64(c.size.Targets)-inSubset
	mechanism := "heartbeats to the other members of its slots and 16 neighbours, an eighth of them to the others; rendezvous subset of targets"
	parts := []part{
		{fullRate, "full-rate peers", "entry_peer_"},
		{reducedRate, "reduced-rate peers", "entry_far_peer_"},
		{inSubset, "known targets", "entry_target_"},
		{outsideSubset, "other targets", "entry_other_target_"},
	}
	fixed := c.fixed("entry_target_microseconds")
	micros, calculation := c.sum(parts, "microseconds", "µs")
	c.add(Row{
		Role: "entry", Resource: "control processor time", Value: (fixed + micros) / 1e4, Unit: "% of a core", Limit: maxControlCPUPercent,
		Calculation: fmt.Sprintf("%.0f µs + %s, a second", fixed, calculation), Mechanism: mechanism, Implemented: true,
	})
	bytes, calculation := c.sum(parts, "bytes", "B")
	c.add(Row{
		Role: "entry", Resource: "control bytes", Value: bytes / 1e3, Unit: "KB/s", Limit: maxControlBytes / 1e3,
		Calculation: calculation + ", a second", Mechanism: mechanism, Implemented: true,
	})
}

// part is a number of units, such as peers, that each cause a cost. The names
// of the slopes for these costs have the common prefix slope.
type part struct {
	count float64
	unit  string
	slope string
}

// sum returns the cost of all parts, and a text that shows the calculation. A
// negative slope is noise of the measurement and counts as zero.
func (c *calculator) sum(parts []part, suffix, unit string) (float64, string) {
	var total float64
	var terms []string
	for _, p := range parts {
		each := max(0, c.slope(p.slope+suffix))
		total += p.count * each
		terms = append(terms, fmt.Sprintf("%.0f %s × %.2g %s", p.count, p.unit, each, unit))
	}
	return total, strings.Join(terms, " + ")
}

func (c *calculator) entryCallRows() {
	calls := c.size.callsPerEntry()
	micros := calls * c.slope("entry_call_microseconds")
	c.add(Row{
		Role: "entry", Resource: "decisions for calls", Value: micros / 1e4, Unit: "% of a core",
		Calculation: fmt.Sprintf("%.1f calls/s × %.3g µs", calls, c.slope("entry_call_microseconds")),
		Mechanism:   "one reducer an entry", Implemented: true,
	})
	c.add(Row{
		Role: "entry", Resource: "bytes for calls, without prompts and answers", Value: calls * c.slope("entry_call_bytes") / 1e3, Unit: "KB/s",
		Calculation: fmt.Sprintf("%.1f calls/s × %.0f B, %.1f messages a call", calls, c.slope("entry_call_bytes"), c.slope("entry_call_messages")),
		Mechanism:   "one batch a step for each peer", Implemented: true,
	})
	if c.measured.Path.CallsPerCore > 0 {
		share := calls / c.measured.Path.CallsPerCore * 100
		c.add(Row{
			Role: "entry and sidecars", Resource: "data path: HTTP, encoding, sockets", Value: share, Unit: "% of a core",
			Calculation: fmt.Sprintf("%.1f calls/s ÷ %.0f calls/s a core (bench path)", calls, c.measured.Path.CallsPerCore),
			Mechanism:   "answers go from the sidecar straight to the ingress entry, not through the owner", Implemented: true,
		})
	}
}

func (c *calculator) sidecarRows() {
	perListener := c.slope("sidecar_listener_bytes")
	subset := c.size.listenersOfSubset()
	c.add(Row{
		Role: "sidecar", Resource: "load reports", Value: subset * perListener / 1e3, Unit: "KB/s", Limit: maxControlBytes / 1e3,
		Calculation: fmt.Sprintf("%.0f listening entries × %.3g B a second", subset, perListener),
		Mechanism:   "rendezvous subset of each pool", Implemented: true,
	})
	c.add(Row{
		Role: "sidecar", Resource: "decisions for calls", Value: c.size.callsPerTarget() * c.slope("sidecar_call_microseconds") / 1e4, Unit: "% of a core",
		Calculation: fmt.Sprintf("%.1f calls/s × %.3g µs", c.size.callsPerTarget(), c.slope("sidecar_call_microseconds")),
		Mechanism:   "one reducer a sidecar", Implemented: true,
	})
	c.add(Row{
		Role: "sidecar", Resource: "memory, idle", Value: float64(c.measured.Path.SidecarIdleBytes) / mega, Unit: "MB", Limit: maxControlMemoryBytes / mega,
		Calculation: "bench path", Mechanism: "one small process a target", Implemented: true,
	})
	bodies := c.size.Programs * historyTokens * historyCopies / float64(c.size.Targets)
	c.add(Row{
		Role: "sidecar", Resource: "memory, stored conversations, all at full length", Value: bodies * c.slope("history_token_bytes") / mega, Unit: "MB",
		Calculation: fmt.Sprintf("%.0f tokens × %.3g B (stand-in's text), two copies", bodies, c.slope("history_token_bytes")),
		Mechanism:   "compressed conversations, bounded store, disk store on VMs with a disk", Implemented: true,
	})
}
