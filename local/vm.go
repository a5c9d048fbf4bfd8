package local

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	entryreducer "github.com/rhubarbsaddle/rhubarbsaddle/core/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/node"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/sidecar"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
)

// vmPeriod is the time between two readings of the VM list.
const vmPeriod = 200 * time.Millisecond

// Entry is an entry VM.
type Entry struct {
	deployment *Deployment
	settings   config.Node
	gone       bool

	mu     sync.Mutex
	daemon *entry.Daemon
}

// Sidecar is the VM of a target.
type Sidecar struct {
	deployment *Deployment
	settings   config.Node
	target     engine.Target
	gone       bool

	mu     sync.Mutex
	daemon *sidecar.Daemon
}

func (d *Deployment) nodeSettings(vm, domain, role string) config.Node {
	return config.Node{
		VM:     vm,
		Domain: domain,
		Role:   role,
		Listen: config.Listen{Callers: loopback, Peers: loopback, Operators: loopback},
		VMList: config.VMList{URL: d.vmURL, Period: config.Duration(vmPeriod)},
	}
}

func (d *Deployment) addEntry(vm, domain string) error {
	e := &Entry{deployment: d, settings: d.nodeSettings(vm, domain, "entry")}
	if err := e.Start(); err != nil {
		return err
	}
	d.entries = append(d.entries, e)
	return nil
}

// Start starts a life of the entry, at the addresses of the last one.
func (e *Entry) Start() error {
	d, err := entry.Start(entry.Options{
		Settings: e.settings,
		Store:    e.deployment.store,
		VMs:      e.deployment.vmSource(),
		Log:      e.deployment.options.Log,
	})
	if err != nil {
		return err
	}
	e.settings.Listen.Peers = d.Node().PeerAddr()
	e.settings.Listen.Operators = d.Node().OperatorAddr()
	e.settings.Listen.Callers = d.Addr()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.daemon = d
	return nil
}

// VM returns the VM's id.
func (e *Entry) VM() string { return e.settings.VM }

// URL returns the base URL of the callers' API.
func (e *Entry) URL() string { return "http://" + e.settings.Listen.Callers }

// Operators returns the address of the operators' port.
func (e *Entry) Operators() string { return e.settings.Listen.Operators }

// Daemon returns the life that runs, or nil.
func (e *Entry) Daemon() *entry.Daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.daemon
}

// Kill ends the life as a crash does.
func (e *Entry) Kill() {
	e.mu.Lock()
	d := e.daemon
	e.daemon = nil
	e.mu.Unlock()
	if d != nil {
		d.Close()
	}
}

// Remove kills the entry and takes its VM off the VM list.
func (e *Entry) Remove() error {
	e.Kill()
	e.gone = true
	return e.deployment.publishVMs()
}

func (e *Entry) info() core.VMInfo {
	return core.VMInfo{
		VM:     core.VM(e.settings.VM),
		Domain: core.Domain(e.settings.Domain),
		Role:   core.RoleEntry,
		Addr:   e.settings.Listen.Peers,
	}
}

// ready reports whether the entry knows the owners of all slots and a number of
// targets.
func (e *Entry) ready(ctx context.Context, targets int) bool {
	daemon := e.Daemon()
	if daemon == nil || daemon.Config() == nil {
		return false
	}
	status, err := daemon.Node().Status(ctx)
	if err != nil {
		return false
	}
	return ownsAll(status, targets)
}

func ownsAll(status *node.Status, targets int) bool {
	var state entryreducer.Status
	if json.Unmarshal(status.State, &state) != nil || len(state.Slots) == 0 || len(state.Targets) < targets {
		return false
	}
	for _, s := range state.Slots {
		if s.Home.IsZero() {
			return false
		}
	}
	return true
}

func (d *Deployment) addSidecar(vm, domain, pool string, target engine.Target) error {
	s := &Sidecar{deployment: d, settings: d.nodeSettings(vm, domain, "sidecar"), target: target}
	s.settings.Target.Pool = pool
	if err := s.Start(); err != nil {
		return err
	}
	d.sidecars = append(d.sidecars, s)
	return nil
}

// Start starts a life of the sidecar, at the addresses of the last one.
func (s *Sidecar) Start() error {
	d, err := sidecar.Start(sidecar.Options{
		Settings: s.settings,
		Store:    s.deployment.store,
		VMs:      s.deployment.vmSource(),
		Target:   s.target,
		Log:      s.deployment.options.Log,
	})
	if err != nil {
		return err
	}
	s.settings.Listen.Peers = d.Node().PeerAddr()
	s.settings.Listen.Operators = d.Node().OperatorAddr()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemon = d
	return nil
}

// VM returns the VM's id.
func (s *Sidecar) VM() string { return s.settings.VM }

// Pool returns the pool of the target.
func (s *Sidecar) Pool() string { return s.settings.Target.Pool }

// Operators returns the address of the operators' port.
func (s *Sidecar) Operators() string { return s.settings.Listen.Operators }

// Daemon returns the life that runs, or nil.
func (s *Sidecar) Daemon() *sidecar.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemon
}

// Kill ends the life as a crash does.
func (s *Sidecar) Kill() {
	s.mu.Lock()
	d := s.daemon
	s.daemon = nil
	s.mu.Unlock()
	if d != nil {
		d.Close()
	}
}

func (s *Sidecar) info() core.VMInfo {
	return core.VMInfo{
		VM:     core.VM(s.settings.VM),
		Domain: core.Domain(s.settings.Domain),
		Role:   core.RoleSidecar,
		Pool:   core.Pool(s.settings.Target.Pool),
		Addr:   s.settings.Listen.Peers,
	}
}
