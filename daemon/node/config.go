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

// configPollPeriod is the time between two polls for a new configuration.
const configPollPeriod = 2 * time.Second

// initialConfigPollPeriod is used instead of configPollPeriod until a configuration
// is active.
const initialConfigPollPeriod = 200 * time.Millisecond

// errNoEntry means that there is no other entry to fetch the configuration from.
var errNoEntry = errors.New("no other entry is on the VM list")

// pollConfig polls for the configuration and applies every new generation.
func (n *Node) pollConfig() {
	for {
		n.readConfig()
		period := configPollPeriod
		if n.Config() == nil {
			period = initialConfigPollPeriod
		}
		if !n.sleep(period) {
			return
		}
	}
}

// readConfig reads the configuration and applies a new generation. Entries read the
// key-value service and fall back to another entry. Sidecars, of which there are
// many, query entries first to keep load off the service.
func (n *Node) readConfig() {
	preferred, fallback := n.readStoreConfig, n.readPeerConfig
	if n.options.ConfigFromPeers {
		preferred, fallback = fallback, preferred
	}
	err := preferred()
	if err != nil {
		if fallbackErr := fallback(); fallbackErr == nil {
			err = nil
		} else {
			err = errors.Join(err, fallbackErr)
		}
	}
	n.outages.record("read configuration", err)
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
	entries := n.otherEntries()
	if len(entries) == 0 {
		return errNoEntry
	}
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	vm := entries[rand.IntN(len(entries))]
	generation, text, err := n.peers.FetchConfig(ctx, vm, n.Generation())
	if err != nil {
		return err
	}
	if generation == 0 {
		return &StepError{Step: "fetch configuration", Peer: string(vm), Err: errors.New("the entry has no configuration yet")}
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

// configText returns the generation and the text of the active configuration. Known is
// the peer's generation; the text is nil if the peer's generation is not older than
// the active one.
func (n *Node) configText(known uint64) (uint64, []byte, error) {
	applied := n.applied.Load()
	if applied == nil {
		return 0, nil, nil
	}
	if applied.Generation <= known {
		return applied.Generation, nil, nil
	}
	text, _, err := publish.EncodeSet(applied.Set)
	return applied.Generation, text, err
}

// Apply activates a configuration if its generation is above that of the active one.
func (n *Node) Apply(applied *AppliedConfig) {
	for {
		current := n.applied.Load()
		if current != nil && applied.Generation <= current.Generation {
			return
		}
		if !n.applied.CompareAndSwap(current, applied) {
			continue
		}
		n.Metrics.SetGeneration(applied.Generation)
		n.log.Info().Str("step", "apply").Uint64("generation", applied.Generation).Msg("configuration applied")
		n.Post(core.ConfigApplied{Generation: applied.Generation, Set: applied.Set})
		return
	}
}
