package entry

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

const tickPeriod = 10 * core.Millisecond

// proc is one process of the cluster: an entry or a fake sidecar.
type proc struct {
	node    core.Node
	domain  core.Domain
	entry   *Entry
	sidecar *fakeSidecar
	down    bool
	paused  bool
	backlog []core.Event
	stopped bool
	// offset is added to the cluster's time to get the process's clock.
	offset core.Duration
}

// delivery is an event queued for a process.
type delivery struct {
	to *proc
	ev core.Event
}

// cluster delivers messages between entries, fake sidecars and a fake key-value
// service in virtual time.
type cluster struct {
	t        *testing.T
	now      core.Instant
	procs    map[core.VM]*proc
	unlisted map[core.VM]bool
	// leaving is an entry's VM that the VM list marks as leaving.
	leaving core.VM
	kv      map[string]core.StoreRecord
	kvRev   int64
	kvDown  bool
	// kvHung makes the service accept requests and never respond.
	kvHung bool
	// loseSwapResults is how many of the next compare-and-swaps take effect but
	// lose their response.
	loseSwapResults int
	// downAfterSwap names a key. The service goes down after the next
	// successful compare-and-swap of that key.
	downAfterSwap string
	queue         []delivery
	delivering    bool
	swaps         int
	set           *config.Set
	check         *invariant.Recorder
	replies       map[core.RequestID][]core.Finish
	attached      map[core.RequestID][]core.AttemptID
	nextReq       uint64
	decisions     []core.Decision
	// drop discards the messages for which it returns true; observe is called with
	// every message sent.
	drop    func(from, to core.VM, m core.Message) bool
	observe func(from core.Node, m core.Message)
}

func testSet() *config.Set {
	return &config.Set{
		Ownership: config.Ownership{
			Slots: 4, Replicas: 1,
			Heartbeat:    config.Duration(50 * core.Millisecond),
			SuspectAfter: config.Duration(300 * core.Millisecond),
		},
		Pools:    []config.Pool{{Name: "model", Kind: config.PoolModel}, {Name: "tool", Kind: config.PoolTool}},
		Programs: []config.ProgramKind{{Name: "kind", BudgetTokens: 1000, MaxTurns: 5, MaxDepth: 1}},
		Accounts: []config.Account{{Name: "acc"}, {Name: "rich", BudgetTokens: 500}, {Name: "few", MaxPrograms: 1}},
	}
}

// newCluster starts entries, each in its own failure domain. Slots have one
// replica unless the test passes another number.
func newCluster(t *testing.T, entries int, replicas ...int) *cluster {
	set := testSet()
	if len(replicas) > 0 {
		set.Ownership.Replicas = replicas[0]
	}
	c := &cluster{
		t: t, now: core.Instant(core.Hour), set: set,
		procs: map[core.VM]*proc{}, unlisted: map[core.VM]bool{},
		kv: map[string]core.StoreRecord{}, replies: map[core.RequestID][]core.Finish{},
		attached: map[core.RequestID][]core.AttemptID{},
		check:    &invariant.Recorder{Panic: true},
	}
	for i := range entries {
		c.start(core.VM("e"+string(rune('0'+i))), core.Domain("d"+string(rune('0'+i))), 1)
	}
	c.startSidecar("m1", "model", 1)
	c.startSidecar("t1", "tool", 1)
	c.publishVMList()
	return c
}

func (c *cluster) start(vm core.VM, d core.Domain, inc core.Incarnation) *proc {
	p := &proc{node: core.Node{VM: vm, Inc: inc}, domain: d}
	p.entry = New(Options{Self: p.node, Domain: d, Seed: uint64(inc), Invariants: c.check})
	c.procs[vm] = p
	c.deliver(p, core.ConfigApplied{Generation: 1, Set: c.set})
	return p
}

func (c *cluster) startSidecar(vm core.VM, pool core.Pool, inc core.Incarnation) {
	n := core.Node{VM: vm, Inc: inc}
	c.procs[vm] = &proc{node: n, domain: "d0", sidecar: newFakeSidecar(n, pool)}
}

// restart starts a new incarnation of the VM's process, without its state.
func (c *cluster) restart(vm core.VM) {
	p := c.procs[vm]
	if p.sidecar != nil {
		c.startSidecar(vm, p.sidecar.load.Pool, p.node.Inc+1)
		return
	}
	c.start(vm, p.domain, p.node.Inc+1)
	c.publishVMList()
}

func (c *cluster) sorted() []*proc {
	return slices.SortedFunc(maps.Values(c.procs), func(a, b *proc) int { return cmp.Compare(a.node.VM, b.node.VM) })
}

// publishVMList delivers the current VM list to every entry.
func (c *cluster) publishVMList() {
	var vms []core.VMInfo
	for _, p := range c.sorted() {
		if c.unlisted[p.node.VM] {
			continue
		}
		vm := core.VMInfo{VM: p.node.VM, Domain: p.domain, Leaving: p.node.VM == c.leaving}
		if p.sidecar != nil {
			vm.Role, vm.Pool, vm.Leaving = core.RoleSidecar, p.sidecar.load.Pool, p.sidecar.leaving
		}
		vms = append(vms, vm)
	}
	for _, p := range c.sorted() {
		if p.entry != nil {
			c.deliver(p, core.VMList{VMs: vms})
		}
	}
}

// removeVM stops a VM and removes it from the VM list permanently.
func (c *cluster) removeVM(vm core.VM) {
	c.procs[vm].down = true
	c.unlisted[vm] = true
	c.publishVMList()
}

func (c *cluster) resume(vm core.VM) {
	p := c.procs[vm]
	p.paused = false
	events := p.backlog
	p.backlog = nil
	for _, ev := range events {
		c.deliver(p, ev)
	}
}

// deliver queues an event and delivers all queued events in order. A nested call
// only queues: the outermost one delivers.
func (c *cluster) deliver(p *proc, ev core.Event) {
	c.queue = append(c.queue, delivery{p, ev})
	if c.delivering {
		return
	}
	c.delivering = true
	for len(c.queue) > 0 {
		d := c.queue[0]
		c.queue = c.queue[1:]
		c.step(d.to, d.ev)
	}
	c.delivering = false
}

func (c *cluster) step(p *proc, ev core.Event) {
	switch {
	case p.down || p.stopped:
	case p.paused:
		p.backlog = append(p.backlog, ev)
	case p.sidecar != nil:
		if r, ok := ev.(core.Recv); ok {
			for _, s := range p.sidecar.recv(r.From, r.Msg) {
				c.send(p.node, s)
			}
		}
	default:
		c.run(p, p.entry.Step(ev, c.now.Add(p.offset)))
	}
}

func (c *cluster) run(p *proc, effects []core.Effect) {
	for _, ef := range effects {
		switch ef := ef.(type) {
		case core.Send:
			c.send(p.node, ef)
		case core.Reply:
			c.replies[ef.Req] = append(c.replies[ef.Req], ef.Finish)
		case core.AttachStream:
			c.attached[ef.Req] = append(c.attached[ef.Req], ef.Attempt)
		case core.StoreGet:
			c.respond(p, core.StoreResult{Op: ef.Op, Records: c.get(ef.Key)})
		case core.StoreRange:
			c.respond(p, core.StoreResult{Op: ef.Op, Records: c.scan(ef.Prefix)})
		case core.StoreCompareAndSwap:
			c.compareAndSwap(p, ef)
		case core.Stopped:
			p.stopped = true
		case core.Decision:
			c.decisions = append(c.decisions, ef)
		}
	}
}

func (c *cluster) send(from core.Node, s core.Send) {
	if c.observe != nil {
		c.observe(from, s.Msg)
	}
	to := c.procs[s.To.VM]
	if to == nil || s.To.Inc != 0 && to.node != s.To {
		return
	}
	if c.drop != nil && c.drop(from.VM, s.To.VM, s.Msg) {
		return
	}
	c.deliver(to, core.Recv{From: from, Msg: s.Msg})
}

func (c *cluster) respond(p *proc, r core.StoreResult) {
	if c.kvHung {
		return
	}
	if c.kvDown {
		r = core.StoreResult{Op: r.Op, Err: true}
	}
	c.deliver(p, r)
}

func (c *cluster) get(key string) []core.StoreRecord {
	if record, ok := c.kv[key]; ok {
		return []core.StoreRecord{record}
	}
	return nil
}

func (c *cluster) scan(prefix string) []core.StoreRecord {
	var out []core.StoreRecord
	for _, k := range slices.Sorted(maps.Keys(c.kv)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, c.kv[k])
		}
	}
	return out
}

func (c *cluster) compareAndSwap(p *proc, s core.StoreCompareAndSwap) {
	ok := !c.kvDown && c.kv[s.Key].Revision == s.Revision
	if ok {
		c.kvRev++
		c.swaps++
		c.kv[s.Key] = core.StoreRecord{Key: s.Key, Value: s.Value, Revision: c.kvRev}
	}
	if ok && c.downAfterSwap == s.Key {
		c.downAfterSwap = ""
		c.kvDown = true
	}
	r := core.StoreResult{Op: s.Op, Swapped: ok, Records: c.get(s.Key)}
	if c.loseSwapResults > 0 {
		c.loseSwapResults--
		r = core.StoreResult{Op: s.Op, Err: true}
	}
	c.respond(p, r)
}

// advance runs ticks for a duration.
func (c *cluster) advance(d core.Duration) {
	for end := c.now.Add(d); c.now < end; {
		c.now = c.now.Add(tickPeriod)
		for _, p := range c.sorted() {
			if p.sidecar != nil && !p.down {
				for _, s := range p.sidecar.tick() {
					c.send(p.node, s)
				}
				continue
			}
			c.deliver(p, core.Tick{})
		}
	}
}

// waitFor runs ticks until a condition holds.
func (c *cluster) waitFor(what string, ok func() bool) {
	c.t.Helper()
	for range 6000 {
		if ok() {
			return
		}
		c.advance(tickPeriod)
	}
	require.Fail(c.t, "timed out waiting for "+what)
}

// waitForOwners waits until every slot has exactly one running owner.
func (c *cluster) waitForOwners() {
	c.t.Helper()
	c.waitFor("every slot to have an owner", func() bool {
		for s := range c.set.Ownership.Slots {
			if len(c.owners(core.SlotID(s))) != 1 {
				return false
			}
		}
		return true
	})
	c.advance(200 * core.Millisecond)
}

// owners returns the running entries that act as owner of a slot.
func (c *cluster) owners(id core.SlotID) []*proc {
	var out []*proc
	for _, p := range c.sorted() {
		if p.entry != nil && !p.down && !p.paused && !p.stopped && p.entry.slots[id].ownerState != nil {
			out = append(out, p)
		}
	}
	return out
}

func (c *cluster) ownerOf(id core.ProgramID) *proc {
	c.t.Helper()
	owners := c.owners(id.Slot(c.set.Ownership.Slots))
	require.Len(c.t, owners, 1)
	return owners[0]
}

// replicaOf returns the first replica of a program's slot.
func (c *cluster) replicaOf(id core.ProgramID) *proc {
	owner := c.ownerOf(id)
	return c.procs[owner.entry.slotOf(id).assignment.Replicas[0].Node.VM]
}

// entryExcept returns an entry that is neither a nor b.
func (c *cluster) entryExcept(a, b *proc) *proc {
	for _, p := range c.sorted() {
		if p.entry != nil && p != a && p != b {
			return p
		}
	}
	return nil
}

// call makes a call at an entry and returns its request.
func (c *cluster) call(at *proc, call core.Call) core.RequestID {
	c.nextReq++
	req := core.RequestID{Ingress: at.node, N: c.nextReq}
	c.deliver(at, core.CallArrived{Req: req, Call: call})
	return req
}

func (c *cluster) end(at *proc, id core.ProgramID) core.RequestID {
	c.nextReq++
	req := core.RequestID{Ingress: at.node, N: c.nextReq}
	c.deliver(at, core.EndArrived{Req: req, Program: id, Account: "acc"})
	return req
}

// reply waits for the reply to a request and checks that there is only one.
func (c *cluster) reply(req core.RequestID) core.Finish {
	c.t.Helper()
	c.waitFor("a reply to "+req.String(), func() bool { return len(c.replies[req]) > 0 })
	require.Len(c.t, c.replies[req], 1)
	return c.replies[req][0]
}

// turn returns the model call with sequence number seq of a program; its
// conversation holds the seq-1 turns before it.
func turn(id core.ProgramID, seq uint64) core.Call {
	call := core.Call{
		Program: id, ProgramKind: "kind", Seq: seq, Account: "acc", Kind: core.CallModel,
		Pool: "model", MaxTokens: 10, Timeout: 60 * core.Second,
	}
	for i := range 2*seq - 1 {
		call.Blocks = append(call.Blocks, core.Block{Digest: 1000 + i, Tokens: 10})
	}
	return call
}

// nonIdempotent returns a tool call that must be executed at most once.
func nonIdempotent(id core.ProgramID, seq uint64, key string) core.Call {
	return core.Call{
		Program: id, ProgramKind: "kind", Seq: seq, Account: "acc", Kind: core.CallTool,
		Pool: "tool", Key: key, NonIdempotent: true, Timeout: 60 * core.Second,
	}
}
