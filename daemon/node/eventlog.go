package node

import (
	"path/filepath"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

// eventsFile is the name of the event log in the data directory, prefixed by the VM's
// name and a hyphen.
const eventsFile = "events.jsonl"

// openMetricsAndEventLog creates the metrics and opens the event log. Without a data
// directory in the settings, the log is in memory.
func (n *Node) openMetricsAndEventLog() error {
	var err error
	if n.Metrics, err = newMetrics(n); err != nil {
		return &StepError{Step: "register metrics of", Peer: n.Self.String(), Err: err}
	}
	var path string
	if dir := n.options.Settings.Data; dir != "" {
		path = filepath.Join(dir, string(n.Self.VM)+"-"+eventsFile)
	}
	n.Events, err = observe.NewLog(observe.LogOptions{Path: path})
	return err
}

// recordDecision adds a decision to the event log, derives the observations for the
// service-level objectives from it and records them.
func (n *Node) recordDecision(d core.Decision) {
	now := time.Now()
	n.outages.record("write event log", n.Events.AppendDecision(observe.NewDecision(now, n.Self, d)))
	for _, o := range observe.FromDecision(now, d, n.DomainOf(d.Target.VM)) {
		n.Observe(o)
	}
}

// Observe adds an observation to the event log and the metrics.
func (n *Node) Observe(o observe.Observation) {
	n.outages.record("write event log", n.Events.AppendObservation(o))
	n.Metrics.RecordObservation(o)
}

// VMs returns the VM list as last fetched.
func (n *Node) VMs() []core.VMInfo {
	if vms := n.vms.Load(); vms != nil {
		return *vms
	}
	return nil
}

// VM returns the VM with an ID from the VM list as last fetched.
func (n *Node) VM(id core.VM) (vm core.VMInfo, found bool) {
	for _, vm := range n.VMs() {
		if vm.VM == id {
			return vm, true
		}
	}
	return core.VMInfo{}, false
}

// DomainOf returns the failure domain of a VM, or "" if it is not listed.
func (n *Node) DomainOf(vm core.VM) core.Domain {
	domains := n.domains.Load()
	if domains == nil {
		return ""
	}
	return (*domains)[vm]
}
