package entry

import (
	"math/rand/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/place"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/retry"
)

// Options are the fixed parameters of an Entry.
type Options struct {
	Self   core.Node
	Domain core.Domain
	// Seed determines every random choice of the reducer.
	Seed uint64
	// Invariants records the checks of the promises; nil checks nothing.
	Invariants *invariant.Recorder
}

// Entry is the reducer of one life of an entry process. It is not safe for
// concurrent use.
type Entry struct {
	self   core.Node
	domain core.Domain
	check  *invariant.Recorder
	rng    *rand.Rand

	now core.Instant
	out []core.Effect
	// inbox holds the messages that this entry sent to itself.
	inbox []core.Message
	// dirty lists the slots with changes that no write contains yet.
	dirty []*slot

	set        *config.Set
	generation uint64
	times      times
	started    core.Instant

	members  members
	targets  targets
	requests map[core.RequestID]*request
	slots    []*slot
	walk     walk
	// mapSum is the sum of the epochs of all owners known.
	mapSum  uint64
	store   store
	probe   probe
	places  map[core.Pool]place.Policy
	budgets map[retryKey]*retry.Budget
	drain   drain
	// offeredAt is when a slot was last offered to another entry.
	offeredAt core.Instant
	// cands holds the candidates last returned, and scratch their next reading.
	cands   []candidate
	scratch []candidate
	// counts are the programs under way by account, as of countedAt.
	counts    map[core.Account]int
	countedAt core.Instant
	// refusals holds the requests answered as not run.
	refusals map[core.RequestID]*refusedRequest
	// buriedAt is when old refusals were last dropped.
	buriedAt core.Instant
}

// retryKey names a retry budget.
type retryKey struct {
	pool    core.Pool
	account core.Account
}

// New returns the reducer of an entry that knows nothing yet.
func New(o Options) *Entry {
	return &Entry{
		self:     o.Self,
		domain:   o.Domain,
		check:    o.Invariants,
		rng:      rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
		times:    timesOf(nil),
		members:  newMembers(o.Self),
		targets:  newTargets(o.Self.VM),
		requests: map[core.RequestID]*request{},
		store:    newStore(),
		walk:     walk{limit: slotsPerTick, stale: true},
		places:   map[core.Pool]place.Policy{},
		budgets:  map[retryKey]*retry.Budget{},
		refusals: map[core.RequestID]*refusedRequest{},
	}
}

// Step applies one event at an instant and returns the effects in order.
func (e *Entry) Step(ev core.Event, now core.Instant) []core.Effect {
	if e.started == 0 {
		e.started = now
	}
	e.now = max(e.now, now)
	e.out = nil
	e.apply(ev)
	e.complete()
	return e.out
}

func (e *Entry) apply(ev core.Event) {
	switch ev := ev.(type) {
	case core.Tick:
		e.tick()
	case core.Recv:
		e.recv(ev.From, ev.Msg)
	case core.CallArrived:
		e.callArrived(ev)
	case core.EndArrived:
		e.endArrived(ev)
	case core.HistoryArrived:
		e.historyArrived(ev)
	case core.CallerDisconnected:
		e.callerGone(ev.Req)
	case core.StreamBroken:
		e.streamBroken(ev)
	case core.VMList:
		e.vmList(ev.VMs)
	case core.StoreResult:
		e.storeResult(ev)
	case core.StoreWatch:
		e.storeWatch(ev.Entries)
	case core.ConfigApplied:
		e.configApplied(ev)
	case core.DrainRequested:
		e.drainRequested()
	}
}

// complete delivers the messages to itself and flushes the writes of the step
// until neither is left.
func (e *Entry) complete() {
	for len(e.inbox) > 0 || len(e.dirty) > 0 {
		inbox := e.inbox
		e.inbox = nil
		for _, m := range inbox {
			e.receive(e.self, m)
		}
		dirty := e.dirty
		e.dirty = nil
		for _, s := range dirty {
			s.dirty = false
			e.flush(s)
		}
	}
}

func (e *Entry) tick() {
	e.tickMembers()
	e.tickStore()
	e.tickProbe()
	e.tickSlots()
	e.tickRequests()
	e.tickRefusals()
	e.tickDrain()
}

// recv drops the messages of lives that have ended and notes the sender's life.
func (e *Entry) recv(from core.Node, m core.Message) {
	if e.members.dead(from) {
		return
	}
	e.members.observe(from, e.now)
	e.receive(from, m)
}

func (e *Entry) receive(from core.Node, m core.Message) {
	switch m := m.(type) {
	case core.Heartbeat:
		e.heartbeat(from, m)
	case core.SlotQuery:
		e.slotQuery(from)
	case core.SlotUpdate:
		e.slotUpdate(m)
	case core.Handover:
		e.handover(from, m)
	case core.PromiseRequest:
		e.promiseRequest(from, m)
	case core.PromiseReply:
		e.promiseReply(from, m)
	case core.ReplicaWrite:
		e.mirrorWrite(from, m)
	case core.ReplicaAck:
		e.mirrorAck(from, m)
	case core.Forward:
		e.forwarded(from, m)
	case core.EndRequest:
		e.endRequested(from, m)
	case core.HistoryRequest:
		e.historyRequested(from, m)
	case core.HistoryFound:
		e.historyFound(m)
	case core.HistoryStored:
		e.historyKept(m)
	case core.Withdraw:
		e.withdrawn(m.Req)
	case core.Placed:
		e.placed(m)
	case core.Finished:
		e.finished(m)
	case core.Result:
		e.result(from, m)
	case core.LoadReport:
		e.loadReport(from, m.Load)
	}
}

func (e *Entry) send(to core.Node, m core.Message) {
	if to == e.self {
		e.inbox = append(e.inbox, m)
		return
	}
	e.emit(core.Send{To: to, Msg: m})
}

func (e *Entry) emit(ef core.Effect) { e.out = append(e.out, ef) }

// configApplied puts a newer configuration in force. The number of slots is
// fixed by the first one.
func (e *Entry) configApplied(ev core.ConfigApplied) {
	if ev.Set == nil || ev.Generation <= e.generation {
		return
	}
	e.check.Check(invariant.ConfigForward, ev.Generation > e.generation,
		"%s: generation %d after %d", e.self, ev.Generation, e.generation)
	e.generation = ev.Generation
	e.set = ev.Set
	e.times = timesOf(ev.Set)
	e.members.listLag = e.times.listLag
	clear(e.places)
	clear(e.budgets)
	if e.slots == nil {
		e.createSlots(ev.Set.Ownership.Slots)
	}
}
