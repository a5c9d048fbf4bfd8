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
	// historyDir is the subdirectory of the data directory for conversations.
	historyDir = "history"
	// maxCopyAttempts bounds the number of sidecars that are tried for one copy.
	maxCopyAttempts = 3
)

// historyReplicator stores the conversations that this sidecar served and copies them
// to other sidecars. It also stores the copies that it receives from other sidecars.
type historyReplicator struct {
	node  *node.Node
	store *history.Store

	mu sync.Mutex
	// storing holds the programs whose newest conversation is being compressed and
	// stored. A program's channel is closed afterwards.
	storing map[core.ProgramID]chan struct{}
	// owners maps a program to the entry that owned its slot and dispatched its
	// last attempt.
	owners map[core.ProgramID]core.Node
}

// openHistoryReplicator opens the conversation store of a VM. Data is the VM's
// data directory; if it is empty, the store writes nothing to disk.
func openHistoryReplicator(vm, data string) (*historyReplicator, error) {
	var options history.Options
	if data != "" {
		options.Dir = filepath.Join(data, historyDir, vm)
	}
	store, err := history.Open(options)
	if err != nil {
		return nil, err
	}
	return &historyReplicator{
		store:   store,
		storing: make(map[core.ProgramID]chan struct{}),
		owners:  make(map[core.ProgramID]core.Node),
	}, nil
}

// announce marks the conversation of an attempt as about to be stored, so that Get
// waits for it until done is called. The end of the answer is not delayed.
func (r *historyReplicator) announce(e core.StartTarget) (done func()) {
	stored := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storing[e.Call.Program] = stored
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.storing[e.Call.Program] == stored {
			delete(r.storing, e.Call.Program)
		}
		close(stored)
	}
}

// storeAndCopy stores the conversation of an attempt with its answer, and copies it to
// a sidecar in another failure domain. It works in the background.
func (r *historyReplicator) storeAndCopy(e core.StartTarget, result engine.Result) {
	done := r.announce(e)
	go func() {
		conversation, err := r.compress(e, result)
		if err == nil {
			err = r.storeLocally(conversation, e.Owner)
		}
		done()
		if err != nil {
			r.logFailure("keep", e.Call.Program, err)
			return
		}
		r.copyToFirst(r.node.Context(), conversation, e.Owner, r.candidates(conversation.Program, true))
	}()
}

func (r *historyReplicator) compress(e core.StartTarget, result engine.Result) (*history.StoredConversation, error) {
	messages, err := history.AppendAnswer(e.Call.Body, result.Message)
	if err != nil {
		return nil, err
	}
	return r.store.Compress(history.Meta{
		Program: e.Call.Program,
		Account: e.Call.Account,
		Attempt: e.Attempt,
		Digest:  result.Digest,
		Blocks:  result.Blocks,
	}, messages)
}

func (r *historyReplicator) storeLocally(conversation *history.StoredConversation, owner core.Node) error {
	if err := r.store.Put(conversation); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owners[conversation.Program] = owner
	return nil
}

// copyToFirst copies a conversation to the first VM in vms that accepts it. It tries at
// most maxCopyAttempts of them.
func (r *historyReplicator) copyToFirst(ctx context.Context, conversation *history.StoredConversation, owner core.Node, vms []core.VM) {
	body, err := conversation.Encode()
	for _, vm := range vms[:min(len(vms), maxCopyAttempts)] {
		if err != nil {
			break
		}
		if err = r.node.Peers().PutHistory(ctx, vm, body, owner); err == nil {
			return
		}
		r.logFailure("copy", conversation.Program, err)
		err = nil
	}
	if err != nil {
		r.logFailure("encode", conversation.Program, err)
	}
}

// candidates returns the VMs of the other sidecars of this pool that are not leaving.
// VMs in other failure domains come first, and if otherDomainsOnly is set, only they are
// returned. Within each group the VMs are in rendezvous order for the program.
func (r *historyReplicator) candidates(program core.ProgramID, otherDomainsOnly bool) []core.VM {
	self, found := r.node.VM(r.node.Self.VM)
	if !found {
		return nil
	}
	var vms []core.VMInfo
	for _, vm := range r.node.VMs() {
		sameDomain := vm.Domain == self.Domain
		if vm.Role != core.RoleSidecar || vm.Leaving || vm.VM == self.VM || vm.Pool != self.Pool || sameDomain && otherDomainsOnly {
			continue
		}
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b core.VMInfo) int {
		if sameDomain := a.Domain == self.Domain; sameDomain != (b.Domain == self.Domain) {
			if sameDomain {
				return 1
			}
			return -1
		}
		return cmp.Compare(rendezvousWeight(program, b.VM), rendezvousWeight(program, a.VM))
	})
	names := make([]core.VM, len(vms))
	for i, vm := range vms {
		names[i] = vm.VM
	}
	return names
}

// rendezvousWeight is the weight of a VM in rendezvous hashing. It spreads the programs
// evenly over the VMs.
func rendezvousWeight(program core.ProgramID, vm core.VM) uint64 {
	return xxhash.Sum64String(string(program) + "\x00" + string(vm))
}

// Put stores a copy from another sidecar and notifies the owner.
func (r *historyReplicator) Put(_ context.Context, body []byte, owner core.Node) error {
	conversation, err := history.Decode(body)
	if err != nil {
		return err
	}
	if err := r.storeLocally(conversation, owner); err != nil {
		return err
	}
	r.node.Peers().Send(owner, core.HistoryStored{
		Node:    r.node.Self,
		Slot:    conversation.Attempt.Slot,
		Epoch:   conversation.Attempt.Epoch,
		Program: conversation.Program,
		Digest:  conversation.Digest,
		Blocks:  conversation.Blocks,
	})
	return nil
}

// Get returns a stored conversation. If it is still being compressed and stored, Get
// waits for that. The reader verifies the chain of digests.
func (r *historyReplicator) Get(ctx context.Context, ref core.HistoryRef) ([]byte, error) {
	r.mu.Lock()
	storing := r.storing[ref.Program]
	r.mu.Unlock()
	if storing != nil {
		select {
		case <-storing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	conversation, err := r.store.Conversation(history.NewRef(ref))
	if err != nil {
		return nil, err
	}
	return conversation.Encode()
}

// release drops the conversations that an owner no longer needs.
func (r *historyReplicator) release(e core.ReleaseHistory) {
	var err error
	if e.Digest != 0 {
		err = r.store.DropIfDigest(e.Slot, e.Epoch, e.Program, e.Digest)
	} else {
		err = r.store.Release(e.Slot, e.Epoch, e.Program)
	}
	if err != nil {
		r.logFailure("release", e.Program, err)
	}
	r.pruneOwners()
}

// pruneOwners drops the owners of programs that have no stored conversation.
func (r *historyReplicator) pruneOwners() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for program := range r.owners {
		if !r.store.Contains(program) {
			delete(r.owners, program)
		}
	}
}

// handOver copies the conversations in memory to other sidecars before this one stops.
func (r *historyReplicator) handOver(ctx context.Context) {
	for _, conversation := range r.store.Conversations() {
		r.mu.Lock()
		owner := r.owners[conversation.Program]
		r.mu.Unlock()
		r.copyToTwo(ctx, conversation, owner)
	}
}

// copyToTwo copies a conversation to the first two of its candidates, one of which may
// have it already.
func (r *historyReplicator) copyToTwo(ctx context.Context, conversation *history.StoredConversation, owner core.Node) {
	vms := r.candidates(conversation.Program, false)
	for _, vm := range vms[:min(len(vms), 2)] {
		r.copyToFirst(ctx, conversation, owner, []core.VM{vm})
	}
}

// HasHistory reports whether a conversation of a program is stored here.
func (d *Daemon) HasHistory(program core.ProgramID) bool { return d.history.store.Contains(program) }

func (r *historyReplicator) logFailure(step string, program core.ProgramID, err error) {
	r.node.Log().Info().Str("step", step+" history").Str("program", string(program)).Err(err).
		Msg("storing, copying or releasing a conversation failed")
}
