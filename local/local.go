// Package local runs a complete deployment on loopback: stand-ins of the platform
// and of the targets, entries and sidecars. The daemons run in this process, or
// each in its own. The demo, the path benchmark and the failure tests use it.
package local

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/etcdjson"
	vmlistport "github.com/rhubarbsaddle/rhubarbsaddle/adapter/vmlist"
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/config/publish"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/core/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/node"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/kv"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/vmlist"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// loopback is a listening address for which the system chooses a port.
const loopback = "127.0.0.1:0"

const (
	// storeKeyPrefix is the prefix of the deployment's keys.
	storeKeyPrefix = "rhubarbsaddle/"
	// storeWritesPerSecond and storeReadsPerSecond are the rate limits of the
	// stand-in for the platform's key-value service.
	storeWritesPerSecond = 400
	storeReadsPerSecond  = 2000
)

// Options configure a deployment.
type Options struct {
	Config *config.Set
	// EntriesPerDomain is the number of entries in each failure domain.
	EntriesPerDomain int
	// Targets maps the name of a pool to its number of targets.
	Targets map[string]int
	// VMListDelay is the time until a change appears in the VM list.
	VMListDelay time.Duration
	// EngineStep is the duration of an engine's step; zero means the value of the
	// pool.
	EngineStep time.Duration
	// ToolTime is the duration of a call of a tool or plain service.
	ToolTime time.Duration
	// DataDir is the directory for the event logs of all daemons and the
	// conversations on disk. If it is empty, both are held in memory only.
	DataDir string
	Log     *log.Logger
	// Binary, if set, is an executable with the product's subcommands. Each
	// daemon then runs in a process of its own, with its settings and log in
	// ProcessDir.
	Binary     string
	ProcessDir string
}

// Deployment is a running deployment.
type Deployment struct {
	options Options
	kv      *kv.Server
	store   store.Store
	vmList  *vmlist.Server
	vmURL   string
	// storeAddr is the address of the key-value service.
	storeAddr string

	mu       sync.Mutex
	entries  []*VM
	sidecars []*VM
	models   []*Model
	tools    []*Tool
}

// Start starts a deployment and waits until every slot has an owner.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	d := &Deployment{options: options}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	if err := d.startPlatform(); err != nil {
		return err
	}
	if _, err := publish.Apply(ctx, node.PublishStore(d.store), d.options.Config, "local"); err != nil {
		return err
	}
	if err := d.startTargets(); err != nil {
		return err
	}
	for _, domain := range d.options.Config.Domains {
		for i := range d.options.EntriesPerDomain {
			name := fmt.Sprintf("entry-%s-%d", domain.Name, i)
			vm := d.newVM(name, domain.Name, core.RoleEntry)
			d.entries = append(d.entries, vm)
			if err := vm.Start(); err != nil {
				return err
			}
		}
	}
	if err := d.publishVMs(); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

// startPlatform starts the stand-ins of the key-value service and of the VM list.
func (d *Deployment) startPlatform() error {
	d.kv = kv.NewServer(kv.Options{WritesPerSecond: storeWritesPerSecond, ReadsPerSecond: storeReadsPerSecond})
	addr, err := d.kv.Start(loopback)
	if err != nil {
		return err
	}
	d.storeAddr = addr
	d.store, err = etcdjson.New(etcdjson.Options{
		Endpoints: []string{addr},
		Prefix:    storeKeyPrefix,
	})
	if err != nil {
		return err
	}
	d.vmList = vmlist.NewServer(d.options.VMListDelay)
	addr, err = d.vmList.Start(loopback)
	if err != nil {
		return err
	}
	d.vmURL = "http://" + addr + "/vms"
	return nil
}

// KVServer returns the stand-in of the key-value service.
func (d *Deployment) KVServer() *kv.Server { return d.kv }

// publishVMs replaces the VM list with the VMs that have not been removed.
func (d *Deployment) publishVMs() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var vms []core.VMInfo
	for _, vm := range slices.Concat(d.entries, d.sidecars) {
		if info, listed := vm.info(); listed {
			vms = append(vms, info)
		}
	}
	return d.vmList.SetVMs(vms)
}

// vmSource returns the source from which a daemon reads the VM list.
func (d *Deployment) vmSource() vmlistport.Source { return vmlistport.HTTP{URL: d.vmURL} }

// errNotReady is the error if a deployment is not ready before its context
// ends.
var errNotReady = errors.New("the slots have no owners yet")

// readyPollPeriod is the time between two polls of the entries' state.
const readyPollPeriod = 20 * time.Millisecond

// waitReady waits until every slot has an owner with all its replicas, and
// every entry has a record of all targets. It returns an error at once if a
// process has exited.
func (d *Deployment) waitReady(ctx context.Context) error {
	for !d.isReady(ctx) {
		for _, vm := range slices.Concat(d.entries, d.sidecars) {
			if err := vm.exitError(); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			// The state is read although ctx has ended.
			return errors.Join(errNotReady, ctx.Err(), d.notReadyError(context.WithoutCancel(ctx)))
		case <-time.After(readyPollPeriod):
		}
	}
	return nil
}

func (d *Deployment) isReady(ctx context.Context) bool {
	owned := 0
	for _, e := range d.Entries() {
		state, err := e.entryStatus(ctx)
		if err != nil || len(state.Targets) < len(d.sidecars) {
			return false
		}
		owned += len(d.ownedSlots(state))
	}
	return owned == int(d.options.Config.Ownership.Slots)
}

// ownedSlots returns the slots that an entry owns with all the replicas that the
// configuration requires.
func (d *Deployment) ownedSlots(state *entry.Status) []core.SlotID {
	replicas := min(d.options.Config.Ownership.Replicas, len(d.entries)-1)
	var owned []core.SlotID
	for _, s := range state.Slots {
		if s.IsOwner && len(s.Replicas) >= replicas {
			owned = append(owned, s.Slot)
		}
	}
	return owned
}

// notReadyError returns an error with the state of each entry, in which only the
// slots that no entry owns are left.
func (d *Deployment) notReadyError(ctx context.Context) error {
	var errs []error
	var owned []core.SlotID
	var states []*entry.Status
	for _, e := range d.entries {
		state, err := e.entryStatus(ctx)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		owned = append(owned, d.ownedSlots(state)...)
		states = append(states, state)
	}
	for _, state := range states {
		state.Slots = slices.DeleteFunc(state.Slots, func(s entry.SlotStatus) bool { return slices.Contains(owned, s.Slot) })
		text, err := json.Marshal(state)
		errs = append(errs, err, fmt.Errorf("state of %s: %s", state.Self, text))
	}
	return errors.Join(errs...)
}

// Entries returns the entries.
func (d *Deployment) Entries() []*VM { return d.entries }

// Sidecars returns the sidecars.
func (d *Deployment) Sidecars() []*VM { return d.sidecars }

// Models returns the stand-ins of the model engines.
func (d *Deployment) Models() []*Model { return d.models }

// Tools returns the stand-ins of the tool and plain services.
func (d *Deployment) Tools() []*Tool { return d.tools }

// Close kills the daemons and stops the stand-ins.
func (d *Deployment) Close() {
	for _, vm := range slices.Concat(d.entries, d.sidecars) {
		vm.Kill()
		vm.releasePorts()
	}
	for _, m := range d.models {
		m.Server.Close()
	}
	for _, t := range d.tools {
		t.Server.Close()
	}
	if d.vmList != nil {
		d.vmList.Close()
	}
	if d.kv != nil {
		d.kv.Close()
	}
}
