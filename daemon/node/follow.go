package node

import (
	"context"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// defaultVMPeriod is the time between two readings of the VM list.
	defaultVMPeriod = time.Second
	// retryPause is the wait after a failed call of the platform.
	retryPause = 500 * time.Millisecond
)

// follow starts to read what the platform tells.
func (n *Node) follow() {
	n.goRun(n.followVMs)
	n.goRun(n.followConfig)
	for _, prefix := range n.options.WatchPrefixes {
		n.goRun(func() { n.followStore(prefix) })
	}
}

// followVMs posts every reading of the VM list and keeps the peers' addresses.
func (n *Node) followVMs() {
	period := time.Duration(n.options.Settings.VMList.Period)
	if period == 0 {
		period = defaultVMPeriod
	}
	listed := map[core.VM]bool{}
	for {
		ctx, cancel := n.storeContext()
		vms, err := n.options.VMs.Read(ctx)
		cancel()
		n.health.note("read VM list", err)
		if err == nil {
			listed = n.readVMs(vms, listed)
		}
		if !n.sleep(period) {
			return
		}
	}
}

// readVMs posts one reading. It returns the VMs listed.
func (n *Node) readVMs(vms []core.VMInfo, before map[core.VM]bool) map[core.VM]bool {
	listed := make(map[core.VM]bool, len(vms))
	domains := make(map[core.VM]core.Domain, len(vms))
	for _, vm := range vms {
		listed[vm.VM] = true
		domains[vm.VM] = vm.Domain
		n.mesh.SetAddress(vm.VM, vm.Addr)
	}
	for vm := range before {
		if !listed[vm] {
			n.mesh.RemovePeer(vm)
		}
	}
	n.vms.Store(&vms)
	n.domains.Store(&domains)
	n.Post(core.VMList{VMs: vms})
	return listed
}

// followStore posts the changes of the keys with a prefix. After a break it
// reads all of them, since changes may have been missed.
func (n *Node) followStore(prefix string) {
	for {
		err := n.watchOnce(prefix)
		if n.ctx.Err() != nil {
			return
		}
		n.health.note("watch "+prefix, err)
		if !n.sleep(retryPause) {
			return
		}
	}
}

func (n *Node) watchOnce(prefix string) error {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	readCtx, cancelRead := n.storeContext()
	entries, revision, err := n.options.Store.Range(readCtx, prefix)
	cancelRead()
	if err != nil {
		return err
	}
	n.health.note("watch "+prefix, nil)
	n.watched(entries)
	return n.options.Store.Watch(ctx, prefix, revision, n.watched)
}

func (n *Node) watched(entries []core.StoreEntry) {
	if len(entries) == 0 {
		return
	}
	n.Post(core.StoreWatch{Entries: entries})
	for _, e := range entries {
		if e.Key == core.ConfigHeadKey {
			n.goRun(n.readConfig)
		}
	}
}
