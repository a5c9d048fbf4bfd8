package local

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	reducer "github.com/rhubarbsaddle/rhubarbsaddle/core/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/node"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/sidecar"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/ports"
)

// vmListPollPeriod is the time between two polls of the VM list by a daemon.
const vmListPollPeriod = 200 * time.Millisecond

// daemon is a running daemon, in this process or in its own.
type daemon interface {
	// Close stops the daemon as a crash does.
	Close()
	// Drain shuts the daemon down gracefully.
	Drain(ctx context.Context) error
}

// VM runs an entry or a sidecar, which may be stopped and started again.
type VM struct {
	deployment *Deployment
	role       core.VMRole
	settings   config.Node
	target     engine.Target
	// reserved are the ports of a daemon that runs in its own process. They stay reserved
	// while it is stopped.
	reserved []*ports.Port

	mu      sync.Mutex
	daemon  daemon
	leaving bool
	removed bool
	// advertised, if set, replaces the address for peers in the VM list.
	advertised string
}

func (d *Deployment) newVM(name, domain string, role core.VMRole) *VM {
	vm := &VM{deployment: d, role: role}
	vm.settings = config.Node{
		VM:     name,
		Domain: domain,
		Role:   "entry",
		Listen: config.Listen{Callers: loopback, Peers: loopback, Operators: loopback},
		Store:  config.Store{Endpoints: []string{d.storeAddr}, Prefix: storeKeyPrefix},
		VMList: config.VMList{URL: d.vmURL, Period: config.Duration(vmListPollPeriod)},
		Data:   d.options.DataDir,
	}
	if role == core.RoleSidecar {
		vm.settings.Role = "sidecar"
		vm.settings.Listen.Callers = ""
	}
	vm.settings.ApplyDefaults()
	return vm
}

// Start starts the daemon. A restarted daemon listens on the same addresses.
func (v *VM) Start() error {
	d, err := v.startDaemon()
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.daemon = d
	return nil
}

func (v *VM) startDaemon() (daemon, error) {
	if v.deployment.options.Binary != "" {
		return v.startProcess()
	}
	if v.role == core.RoleSidecar {
		return v.startSidecar()
	}
	return v.startEntry()
}

func (v *VM) startEntry() (daemon, error) {
	d, err := entry.Start(entry.Options{
		Settings: v.settings,
		Store:    v.deployment.store,
		VMs:      v.deployment.vmSource(),
		Log:      v.deployment.options.Log,
	})
	if err != nil {
		return nil, err
	}
	v.recordAddresses(d.Node())
	v.settings.Listen.Callers = d.Addr()
	return d, nil
}

func (v *VM) startSidecar() (daemon, error) {
	d, err := sidecar.Start(sidecar.Options{
		Settings: v.settings,
		Store:    v.deployment.store,
		VMs:      v.deployment.vmSource(),
		Target:   v.target,
		Log:      v.deployment.options.Log,
	})
	if err != nil {
		return nil, err
	}
	v.recordAddresses(d.Node())
	return d, nil
}

func (v *VM) recordAddresses(n *node.Node) {
	v.settings.Listen.Peers = n.PeerAddr()
	v.settings.Listen.Operators = n.OperatorAddr()
}

// Name returns the VM's id.
func (v *VM) Name() string { return v.settings.VM }

// Pool returns the pool of a sidecar's target.
func (v *VM) Pool() string { return v.settings.Target.Pool }

// URL returns the base URL of an entry's API for callers.
func (v *VM) URL() string { return "http://" + v.settings.Listen.Callers }

// OperatorAddr returns the address of the operators' port.
func (v *VM) OperatorAddr() string { return v.settings.Listen.Operators }

// IsRunning reports whether the daemon runs.
func (v *VM) IsRunning() bool { return v.currentDaemon() != nil }

// Node returns the runtime of the daemon if it runs in this process, else nil.
func (v *VM) Node() *node.Node {
	switch l := v.currentDaemon().(type) {
	case *entry.Daemon:
		return l.Node()
	case *sidecar.Daemon:
		return l.Node()
	}
	return nil
}

func (v *VM) currentDaemon() daemon {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.daemon
}

func (v *VM) clearDaemon() daemon {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.daemon
	v.daemon = nil
	return l
}

// Kill stops the daemon as a crash does.
func (v *VM) Kill() {
	if l := v.clearDaemon(); l != nil {
		l.Close()
	}
}

// Drain shuts the daemon down gracefully.
func (v *VM) Drain(ctx context.Context) error {
	l := v.currentDaemon()
	if l == nil {
		return nil
	}
	err := l.Drain(ctx)
	v.clearDaemon()
	return err
}

// Remove removes the VM from the VM list.
func (v *VM) Remove() error {
	v.mu.Lock()
	v.removed = true
	v.mu.Unlock()
	return v.deployment.publishVMs()
}

// MarkLeaving marks the VM as leaving in the VM list.
func (v *VM) MarkLeaving() error {
	v.mu.Lock()
	v.leaving = true
	v.mu.Unlock()
	return v.deployment.publishVMs()
}

// PeerAddr returns the address on which the daemon listens for its peers.
func (v *VM) PeerAddr() string { return v.settings.Listen.Peers }

// Advertise publishes addr in the VM list in place of the daemon's own address
// for peers. It may be the address of a relay.
func (v *VM) Advertise(addr string) error {
	v.mu.Lock()
	v.advertised = addr
	v.mu.Unlock()
	return v.deployment.publishVMs()
}

// info returns the VM's item in the VM list; ok is false if the VM has been
// removed.
func (v *VM) info() (vm core.VMInfo, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	addr := v.settings.Listen.Peers
	if v.advertised != "" {
		addr = v.advertised
	}
	return core.VMInfo{
		VM:      core.VM(v.settings.VM),
		Domain:  core.Domain(v.settings.Domain),
		Role:    v.role,
		Pool:    core.Pool(v.settings.Target.Pool),
		Leaving: v.leaving,
		Addr:    addr,
	}, !v.removed
}

// entryStatus requests the state of an entry's reducer.
func (v *VM) entryStatus(ctx context.Context) (*reducer.Status, error) {
	status, err := v.Status(ctx)
	if err != nil {
		return nil, fmt.Errorf("state of %s: %w", v.Name(), err)
	}
	var state reducer.Status
	if err := json.Unmarshal(status.State, &state); err != nil {
		return nil, fmt.Errorf("state of %s: %w", v.Name(), err)
	}
	return &state, nil
}

// statusTimeout bounds a request for the state of a daemon.
const statusTimeout = 2 * time.Second

// Status requests the daemon's state from the operators' port.
func (v *VM) Status(ctx context.Context) (*node.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.OperatorAddr()+"/status", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var status node.Status
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return nil, err
	}
	return &status, nil
}
