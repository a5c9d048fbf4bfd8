// Package local runs a whole deployment on loopback in one process: stand-ins
// of the platform and of the targets, entries and sidecars. The demo, the path
// benchmark and the tests of failures use it.
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

// loopback lets the system choose a port.
const loopback = "127.0.0.1:0"

const (
	// storePrefix stands before the keys of the deployment.
	storePrefix = "rhubarbsaddle/"
	// storeWrites and storeReads are the platform's rates, calls a second.
	storeWrites = 400
	storeReads  = 2000
)

// Options describe a deployment.
type Options struct {
	Config *config.Set
	// EntriesPerDomain is the number of entries in each failure domain.
	EntriesPerDomain int
	// Targets is the number of targets of each pool, by its name.
	Targets map[string]int
	// VMListDelay is how late the VM list shows changes.
	VMListDelay time.Duration
	// EngineStep is the time of an engine's step; zero means the pool's.
	EngineStep time.Duration
	// ToolTime is how long a call of a service takes.
	ToolTime time.Duration
	// DataDir is the data folder of all processes; it takes their event logs. Empty
	// keeps these in memory.
	DataDir string
	Log     *log.Logger
	// Binary, if set, is the program whose subcommands run the daemons in
	// processes of their own; their settings and logs go into Folder.
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

// Start starts everything and waits until the deployment serves.
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
			if err := vm.Start(); err != nil {
				return err
			}
			d.entries = append(d.entries, vm)
		}
	}
	if err := d.publishVMs(); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

// startPlatform starts the key-value service and the VM list.
func (d *Deployment) startPlatform() error {
	d.kv = kv.NewServer(kv.Options{WritesPerSecond: storeWrites, ReadsPerSecond: storeReads})
	addr, err := d.kv.Start(loopback)
	if err != nil {
		return err
	}
	d.storeAddr = addr
	d.store, err = etcdjson.New(etcdjson.Options{
		Endpoints: []string{addr},
		Prefix:    storePrefix,
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

// publishVMs writes the VM list.
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

// vmSource reads the VM list as a daemon does.
func (d *Deployment) vmSource() vmlistport.Source { return vmlistport.HTTP{URL: d.vmURL} }

// errNotReady is the cause when a deployment does not come to serve in time.
var errNotReady = errors.New("the slots have no owners yet")

// readyPause is the time between two looks at the entries' state.
const readyPause = 20 * time.Millisecond

// waitReady waits until every entry knows an owner of every slot and all
// targets.
func (d *Deployment) waitReady(ctx context.Context) error {
	for {
		if d.ready(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(errNotReady, ctx.Err())
		case <-time.After(readyPause):
		}
	}
}

func (d *Deployment) ready(ctx context.Context) bool {
	acting := 0
	for _, e := range d.Entries() {
		status, err := e.Status(ctx)
		if err != nil {
			return false
		}
		var state entry.Status
		if json.Unmarshal(status.State, &state) != nil || len(state.Targets) < len(d.sidecars) {
			return false
		}
		acting += d.actingFor(&state)
	}
	return acting == int(d.options.Config.Ownership.Slots)
}

// actingFor counts the slots that an entry acts as the home of, with all the
// mirrors that the configuration asks for.
func (d *Deployment) actingFor(state *entry.Status) int {
	mirrors := min(d.options.Config.Ownership.Replicas, len(d.entries)-1)
	n := 0
	for _, s := range state.Slots {
		if s.IsOwner && len(s.Replicas) >= mirrors {
			n++
		}
	}
	return n
}

// Entries returns the entries.
func (d *Deployment) Entries() []*VM { return d.entries }

// Sidecars returns the sidecars.
func (d *Deployment) Sidecars() []*VM { return d.sidecars }

// Models returns the stand-ins of the model engines.
func (d *Deployment) Models() []*Model { return d.models }

// Tools returns the stand-ins of the tool and plain services.
func (d *Deployment) Tools() []*Tool { return d.tools }

// Close ends everything.
func (d *Deployment) Close() {
	for _, vm := range slices.Concat(d.entries, d.sidecars) {
		vm.Kill()
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
