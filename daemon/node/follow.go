package node

import (
	"context"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// defaultVMPollPeriod is the time between two polls of the VM list.
	defaultVMPollPeriod = time.Second
	// retryDelay is the delay after a failed call to the platform.
	retryDelay = 500 * time.Millisecond
)

// startFollowers starts to follow the VM list, the configuration and the watched
// keys of the key-value service.
func (n *Node) startFollowers() {
	n.goRun(n.pollVMs)
	n.goRun(n.pollConfig)
	for _, prefix := range n.options.WatchPrefixes {
		n.goRun(func() { n.watchStore(prefix) })
	}
}

// pollVMs polls the VM list, posts every fetched list and updates the peers' addresses.
func (n *Node) pollVMs() {
	period := time.Duration(n.options.Settings.VMList.Period)
	if period == 0 {
		period = defaultVMPollPeriod
	}
	listed := map[core.VM]bool{}
	for {
		ctx, cancel := n.storeContext()
		vms, err := n.options.VMs.Read(ctx)
		cancel()
		n.outages.record("read VM list", err)
		if err == nil {
			listed = n.applyVMs(vms, listed)
		}
		if !n.sleep(period) {
			return
		}
	}
}

// applyVMs posts a fetched VM list, updates the peers' addresses and removes the peers
// that are in before but no longer on the list. It returns the listed VMs.
func (n *Node) applyVMs(vms []core.VMInfo, before map[core.VM]bool) map[core.VM]bool {
	listed := make(map[core.VM]bool, len(vms))
	domains := make(map[core.VM]core.Domain, len(vms))
	for _, vm := range vms {
		listed[vm.VM] = true
		domains[vm.VM] = vm.Domain
		n.peers.SetAddress(vm.VM, vm.Addr)
	}
	for vm := range before {
		if !listed[vm] {
			n.peers.RemovePeer(vm)
		}
	}
	n.vms.Store(&vms)
	n.domains.Store(&domains)
	n.Post(core.VMList{VMs: vms})
	return listed
}

// watchStore posts the changes of the keys with a prefix. After an interruption it reads
// all these keys again, since changes may have been missed.
func (n *Node) watchStore(prefix string) {
	for {
		err := n.watchOnce(prefix)
		if n.ctx.Err() != nil {
			return
		}
		n.outages.record("watch "+prefix, err)
		if !n.sleep(retryDelay) {
			return
		}
	}
}

func (n *Node) watchOnce(prefix string) error {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	readCtx, cancelRead := n.storeContext()
	records, revision, err := n.options.Store.Range(readCtx, prefix)
	cancelRead()
	if err != nil {
		return err
	}
	n.outages.record("watch "+prefix, nil)
	n.applyStoreChanges(records)
	return n.options.Store.Watch(ctx, prefix, revision, func(changes []core.StoreRecord, _ int64) { n.applyStoreChanges(changes) })
}

func (n *Node) applyStoreChanges(records []core.StoreRecord) {
	if len(records) == 0 {
		return
	}
	n.Post(core.StoreWatch{Records: records})
	for _, record := range records {
		if record.Key == core.ConfigHeadKey {
			n.goRun(n.readConfig)
		}
	}
}
