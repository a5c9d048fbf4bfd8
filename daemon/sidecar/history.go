package sidecar

import (
	"cmp"
	"context"
	"path/filepath"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/node"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/history"
)

const (
	// historyFolder is the part of the data folder that takes conversations.
	historyFolder = "history"
	// copyTries bounds the sidecars that are asked to take a copy.
	copyTries = 3
)

// keeper keeps the conversations that this sidecar served, and copies of those
// that others did.
type keeper struct {
	node  *node.Node
	store *history.Store

	mu sync.Mutex
	// keeping holds the programs whose newest conversation is being compressed.
	keeping map[core.ProgramID]chan struct{}
	// homes holds the home that each program's last attempt came from.
	homes map[core.ProgramID]core.Node
}

// openKeeper opens the store of a VM; data is its data folder, or "".
func openKeeper(vm, data string) (*keeper, error) {
	var options history.Options
	if data != "" {
		options.Dir = filepath.Join(data, historyFolder, vm)
	}
	store, err := history.Open(options)
	if err != nil {
		return nil, err
	}
	return &keeper{
		store:   store,
		keeping: make(map[core.ProgramID]chan struct{}),
		homes:   make(map[core.ProgramID]core.Node),
	}, nil
}

// begin announces the conversation of an attempt, so that a reader who comes
// before it is kept waits for it. The end of the answer does not wait.
func (k *keeper) begin(e core.StartTarget) (done func()) {
	mark := make(chan struct{})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keeping[e.Call.Program] = mark
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.keeping[e.Call.Program] == mark {
			delete(k.keeping, e.Call.Program)
		}
		close(mark)
	}
}

// keep stores the conversation of an attempt with its answer and gives a copy to
// another sidecar.
func (k *keeper) keep(e core.StartTarget, result engine.Result) {
	done := k.begin(e)
	go func() {
		entry, err := k.compress(e, result)
		if err == nil {
			err = k.keepHere(entry, e.Owner)
		}
		done()
		if err != nil {
			k.failed("keep", e.Call.Program, err)
			return
		}
		k.copy(k.node.Context(), entry, e.Owner, k.others(entry.Program, true))
	}()
}

func (k *keeper) compress(e core.StartTarget, result engine.Result) (*history.Entry, error) {
	messages, err := history.AppendAnswer(e.Call.Body, result.Message)
	if err != nil {
		return nil, err
	}
	return k.store.Compress(history.Meta{
		Program: e.Call.Program,
		Account: e.Call.Account,
		Attempt: e.Attempt,
		Digest:  result.Digest,
		Blocks:  result.Blocks,
	}, messages)
}

func (k *keeper) keepHere(entry *history.Entry, home core.Node) error {
	if err := k.store.Put(entry); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.homes[entry.Program] = home
	return nil
}

// copy gives a conversation to the first of some VMs that takes it.
func (k *keeper) copy(ctx context.Context, entry *history.Entry, home core.Node, vms []core.VM) {
	body, err := entry.Encode()
	for _, vm := range vms[:min(len(vms), copyTries)] {
		if err != nil {
			break
		}
		if err = k.node.Mesh().PutHistory(ctx, vm, body, home); err == nil {
			return
		}
		k.failed("copy", entry.Program, err)
		err = nil
	}
	if err != nil {
		k.failed("encode", entry.Program, err)
	}
}

// others returns the VMs of live sidecars of this pool, in rendezvous order for a
// program: those in other failure domains first, and only those if apart is set.
func (k *keeper) others(program core.ProgramID, apart bool) []core.VM {
	self, found := k.node.VM(k.node.Self.VM)
	if !found {
		return nil
	}
	var vms []core.VMInfo
	for _, vm := range k.node.VMs() {
		near := vm.Domain == self.Domain
		if vm.Role != core.RoleSidecar || vm.Leaving || vm.VM == self.VM || vm.Pool != self.Pool || near && apart {
			continue
		}
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b core.VMInfo) int {
		if near := a.Domain == self.Domain; near != (b.Domain == self.Domain) {
			if near {
				return 1
			}
			return -1
		}
		return cmp.Compare(weight(program, b.VM), weight(program, a.VM))
	})
	names := make([]core.VM, len(vms))
	for i, vm := range vms {
		names[i] = vm.VM
	}
	return names
}

// weight orders VMs for a program, evenly over all programs.
func weight(program core.ProgramID, vm core.VM) uint64 {
	return xxhash.Sum64String(string(program) + "\x00" + string(vm))
}

// Put keeps a copy that another sidecar gives and tells the home.
func (k *keeper) Put(_ context.Context, body []byte, home core.Node) error {
	entry, err := history.Decode(body)
	if err != nil {
		return err
	}
	if err := k.keepHere(entry, home); err != nil {
		return err
	}
	k.node.Mesh().Send(home, core.HistoryStored{
		Node:    k.node.Self,
		Slot:    entry.Attempt.Slot,
		Epoch:   entry.Attempt.Epoch,
		Program: entry.Program,
		Digest:  entry.Digest,
		Blocks:  entry.Blocks,
	})
	return nil
}

// Get returns a kept conversation. The reader checks its digest chain.
func (k *keeper) Get(ctx context.Context, ref core.HistoryRef) ([]byte, error) {
	k.mu.Lock()
	keeping := k.keeping[ref.Program]
	k.mu.Unlock()
	if keeping != nil {
		select {
		case <-keeping:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	entry, err := k.store.Entry(history.NewRef(ref))
	if err != nil {
		return nil, err
	}
	return entry.Encode()
}

// release forgets what a home says is no longer needed.
func (k *keeper) release(e core.ReleaseHistory) {
	var err error
	if e.Digest != 0 {
		err = k.store.DropIfDigest(e.Slot, e.Epoch, e.Program, e.Digest)
	} else {
		err = k.store.Release(e.Slot, e.Epoch, e.Program)
	}
	if err != nil {
		k.failed("release", e.Program, err)
	}
	k.forgetHomes()
}

// forgetHomes drops the homes of programs without a kept conversation.
func (k *keeper) forgetHomes() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for program := range k.homes {
		if !k.store.Contains(program) {
			delete(k.homes, program)
		}
	}
}

// handOver gives all conversations to other sidecars before this one ends.
func (k *keeper) handOver(ctx context.Context) {
	for _, entry := range k.store.Entries() {
		k.mu.Lock()
		home := k.homes[entry.Program]
		k.mu.Unlock()
		k.copyAll(ctx, entry, home)
	}
}

// copyAll gives a conversation to the two VMs that come first for it, of which
// one may hold it already.
func (k *keeper) copyAll(ctx context.Context, entry *history.Entry, home core.Node) {
	vms := k.others(entry.Program, false)
	for _, vm := range vms[:min(len(vms), 2)] {
		k.copy(ctx, entry, home, []core.VM{vm})
	}
}

// HasHistory reports whether a conversation of a program is kept here.
func (d *Daemon) HasHistory(program core.ProgramID) bool { return d.history.store.Contains(program) }

func (k *keeper) failed(step string, program core.ProgramID, err error) {
	k.node.Log().Info().Str("step", step+" history").Str("program", string(program)).Err(err).
		Msg("a conversation was not kept")
}
