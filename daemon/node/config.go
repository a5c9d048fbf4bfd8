package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config/load"
	"github.com/rhubarbsaddle/rhubarbsaddle/config/publish"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// configPeriod is the time between two readings of the configuration.
const configPeriod = 2 * time.Second

// firstConfigPeriod is that time before the first configuration is in force.
const firstConfigPeriod = 200 * time.Millisecond

// errNoEntry is the cause when no other entry is on the VM list.
var errNoEntry = errors.New("no other entry is on the VM list")

// followConfig puts every new generation of the configuration in force.
func (n *Node) followConfig() {
	for {
		n.readConfig()
		period := configPeriod
		if n.Config() == nil {
			period = firstConfigPeriod
		}
		if !n.sleep(period) {
			return
		}
	}
}

// readConfig reads the configuration. Entries read the key-value service and
// ask each other when it fails; sidecars, of which there are many, ask entries
// and spare the service.
func (n *Node) readConfig() {
	first, second := n.readStoreConfig, n.readPeerConfig
	if n.options.ConfigFromPeers {
		first, second = second, first
	}
	err := first()
	if err != nil {
		if other := second(); other == nil {
			err = nil
		} else {
			err = errors.Join(err, other)
		}
	}
	n.health.note("read configuration", err)
}

// readStoreConfig reads the configuration from the key-value service.
func (n *Node) readStoreConfig() error {
	ctx, cancel := n.storeContext()
	defer cancel()
	from := PublishStore(n.options.Store)
	head, _, err := publish.ReadHead(ctx, from)
	if err != nil || head.Generation <= n.Generation() {
		return err
	}
	set, err := publish.ReadSet(ctx, from, head)
	if err != nil {
		return err
	}
	n.Apply(&AppliedConfig{Generation: head.Generation, Set: set})
	return nil
}

// readPeerConfig reads the configuration from an entry on the VM list.
func (n *Node) readPeerConfig() error {
	peers := n.otherEntries()
	if len(peers) == 0 {
		return errNoEntry
	}
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	vm := peers[rand.IntN(len(peers))]
	generation, text, err := n.mesh.FetchConfig(ctx, vm, n.Generation())
	if err != nil {
		return err
	}
	if generation == 0 {
		return &StepError{Step: "fetch configuration", Peer: string(vm), Err: errors.New("it has none yet")}
	}
	if generation <= n.Generation() {
		return nil
	}
	set, err := load.SetBytes("configuration of "+string(vm), text)
	if err != nil {
		return err
	}
	n.Apply(&AppliedConfig{Generation: generation, Set: set})
	return nil
}

func (n *Node) otherEntries() []core.VM {
	vms := n.vms.Load()
	if vms == nil {
		return nil
	}
	var entries []core.VM
	for _, vm := range *vms {
		if vm.Role == core.RoleEntry && vm.VM != n.Self.VM {
			entries = append(entries, vm.VM)
		}
	}
	return entries
}

// configText returns the configuration in force for a peer that knows an older
// generation.
func (n *Node) configText(known uint64) (uint64, []byte, error) {
	applied := n.applied.Load()
	if applied == nil {
		return 0, nil, nil
	}
	if applied.Generation <= known {
		return applied.Generation, nil, nil
	}
	text, _, err := publish.Encode(applied.Set)
	return applied.Generation, text, err
}

// Apply puts a configuration in force unless an equal or later one is.
func (n *Node) Apply(applied *AppliedConfig) {
	for {
		current := n.applied.Load()
		if current != nil && applied.Generation <= current.Generation {
			return
		}
		if !n.applied.CompareAndSwap(current, applied) {
			continue
		}
		n.Metrics.Generation(applied.Generation)
		n.log.Info().Str("step", "apply").Uint64("generation", applied.Generation).Msg("configuration in force")
		n.Post(core.ConfigApplied{Generation: applied.Generation, Set: applied.Set})
		return
	}
}
