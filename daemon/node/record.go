package node

import (
	"path/filepath"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

// eventsFile is the name of the event log in the data folder.
const eventsFile = "events.jsonl"

// openRecords makes the metrics and opens the event log, which is kept in memory
// on VMs without a data folder.
func (n *Node) openRecords() error {
	var err error
	if n.Metrics, err = newMetrics(n); err != nil {
		return &StepError{Step: "make metrics of", Peer: n.Self.String(), Err: err}
	}
	var path string
	if folder := n.options.Settings.Data; folder != "" {
		path = filepath.Join(folder, string(n.Self.VM)+"-"+eventsFile)
	}
	n.Events, err = observe.NewLog(observe.LogOptions{Path: path})
	return err
}

// record adds a decision and what it tells of the objectives to the event log.
func (n *Node) record(d core.Decision) {
	now := time.Now()
	n.health.note("write event log", n.Events.Decide(observe.NewDecision(now, n.Self, d)))
	for _, o := range observe.FromDecision(now, d, n.DomainOf(d.Target.VM)) {
		n.Observe(o)
	}
}

// Observe adds an observation to the event log and the metrics.
func (n *Node) Observe(o observe.Observation) {
	n.health.note("write event log", n.Events.Observe(o))
	n.Metrics.Observe(o)
}

// DomainOf returns the failure domain of a VM, or "" if it is not listed.
func (n *Node) DomainOf(vm core.VM) core.Domain {
	domains := n.domains.Load()
	if domains == nil {
		return ""
	}
	return (*domains)[vm]
}
