package local

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/node"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/sidecar"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
)

// vmPeriod is the time between two readings of the VM list.
const vmPeriod = 200 * time.Millisecond

// life is one life of a daemon, in this process or in one of its own.
type life interface {
	// Close ends the life as a crash does.
	Close()
	// Drain shuts the life down gracefully.
	Drain(ctx context.Context) error
}

// VM runs an entry or a sidecar, one life after another.
type VM struct {
	deployment *Deployment
	role       core.VMRole
	settings   config.Node
	target     engine.Target

	mu      sync.Mutex
	life    life
	leaving bool
	gone    bool
	// advertised replaces the peers' address in the VM list.
	advertised string
}

func (d *Deployment) newVM(name, domain string, role core.VMRole) *VM {
	vm := &VM{deployment: d, role: role}
	vm.settings = config.Node{
		VM:     name,
		Domain: domain,
		Role:   "entry",
		Listen: config.Listen{Callers: loopback, Peers: loopback, Operators: loopback},
		Store:  config.Store{Endpoints: []string{d.storeAddr}, Prefix: storePrefix},
		VMList: config.VMList{URL: d.vmURL, Period: config.Duration(vmPeriod)},
		Data:   d.options.DataDir,
	}
	if role == core.RoleSidecar {
		vm.settings.Role = "sidecar"
		vm.settings.Listen.Callers = ""
	}
	vm.settings.ApplyDefaults()
	return vm
}

// Start starts a life, at the addresses of the last one.
func (v *VM) Start() error {
	l, err := v.begin()
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.life = l
	return nil
}

func (v *VM) begin() (life, error) {
	if v.deployment.options.Binary != "" {
		return v.startProcess()
	}
	if v.role == core.RoleSidecar {
		return v.startSidecar()
	}
	return v.startEntry()
}

func (v *VM) startEntry() (life, error) {
	d, err := entry.Start(entry.Options{
		Settings: v.settings,
		Store:    v.deployment.store,
		VMs:      v.deployment.vmSource(),
		Log:      v.deployment.options.Log,
	})
	if err != nil {
		return nil, err
	}
	v.keepAddresses(d.Node())
	v.settings.Listen.Callers = d.Addr()
	return d, nil
}

func (v *VM) startSidecar() (life, error) {
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
	v.keepAddresses(d.Node())
	return d, nil
}

func (v *VM) keepAddresses(n *node.Node) {
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

// IsRunning reports whether a life runs.
func (v *VM) IsRunning() bool { return v.current() != nil }

// Node returns the shared shell of the life that runs in this process, or nil.
func (v *VM) Node() *node.Node {
	switch l := v.current().(type) {
	case *entry.Daemon:
		return l.Node()
	case *sidecar.Daemon:
		return l.Node()
	}
	return nil
}

func (v *VM) current() life {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.life
}

func (v *VM) end() life {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.life
	v.life = nil
	return l
}

// Kill ends the life as a crash does.
func (v *VM) Kill() {
	if l := v.end(); l != nil {
		l.Close()
	}
}

// Drain shuts the life down gracefully.
func (v *VM) Drain(ctx context.Context) error {
	l := v.current()
	if l == nil {
		return nil
	}
	err := l.Drain(ctx)
	v.end()
	return err
}

// Remove takes the VM off the VM list.
func (v *VM) Remove() error {
	v.mu.Lock()
	v.gone = true
	v.mu.Unlock()
	return v.deployment.publishVMs()
}

// MarkLeaving shows the VM as leaving in the VM list.
func (v *VM) MarkLeaving() error {
	v.mu.Lock()
	v.leaving = true
	v.mu.Unlock()
	return v.deployment.publishVMs()
}

// PeerAddr returns the address that the daemon listens on for its peers.
func (v *VM) PeerAddr() string { return v.settings.Listen.Peers }

// Advertise shows another address for peers in the VM list, such as a relay's.
func (v *VM) Advertise(addr string) error {
	v.mu.Lock()
	v.advertised = addr
	v.mu.Unlock()
	return v.deployment.publishVMs()
}

// info returns the VM's line of the VM list; ok is false if it has none.
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
	}, !v.gone
}

// statusTimeout bounds a request for the state of a daemon.
const statusTimeout = 2 * time.Second

// Status asks the life for its state, as an operator does.
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
