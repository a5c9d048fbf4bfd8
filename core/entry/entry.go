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
	// Invariants records the checks of invariants; nil disables them.
	Invariants *invariant.Recorder
}

// Entry is the reducer of one incarnation of an entry process. It is not safe
// for concurrent use.
type Entry struct {
	self       core.Node
	domain     core.Domain
	invariants *invariant.Recorder
	rng        *rand.Rand

	now core.Instant
	out []core.Effect
	// inbox holds the messages that this entry sent to itself in this step.
	inbox []core.Message
	// dirty lists the slots with changes that have not been written to the
	// replicas yet.
	dirty []*slot

	set        *config.Set
	generation uint64
	times      times
	started    core.Instant

	members  members
	targets  targets
	requests map[core.RequestID]*request
	slots    []*slot
	scan     slotScan
	// mapSum is the sum of mapTerm over all slots, as announced in heartbeats.
	mapSum       uint64
	store        store
	storeProbe   storeProbe
	placements   map[core.Pool]place.Policy
	retryBudgets map[retryKey]*retry.Budget
	drain        drain
	// lastOfferAt is when any slot was last offered to another entry.
	lastOfferAt core.Instant
	// lastCandidates is the last result of the method candidates. candidateBuf is
	// the buffer in which the method collects the candidates.
	lastCandidates []candidate
	candidateBuf   []candidate
	// accountPrograms counts the active programs of owned slots by account, as of
	// accountProgramsAt.
	accountPrograms   map[core.Account]int
	accountProgramsAt core.Instant
	// refusals holds the tombstones of requests whose outcome was not_run.
	refusals map[core.RequestID]*refusedRequest
	// refusalsPrunedAt is when expired refusals were last removed.
	refusalsPrunedAt core.Instant
}

// retryKey identifies a retry budget.
type retryKey struct {
	pool    core.Pool
	account core.Account
}

// New returns the reducer of an entry without configuration, peers or slots;
// they arrive as events.
func New(o Options) *Entry {
	return &Entry{
		self:         o.Self,
		domain:       o.Domain,
		invariants:   o.Invariants,
		rng:          rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
		times:        timesOf(nil),
		members:      newMembers(o.Self),
		targets:      newTargets(o.Self.VM),
		requests:     map[core.RequestID]*request{},
		store:        newStore(),
		scan:         slotScan{limit: slotsPerTick, stale: true},
		placements:   map[core.Pool]place.Policy{},
		retryBudgets: map[retryKey]*retry.Budget{},
		refusals:     map[core.RequestID]*refusedRequest{},
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
	e.finishStep()
	return e.out
}

func (e *Entry) apply(ev core.Event) {
	switch ev := ev.(type) {
	case core.Tick:
		e.tick()
	case core.Recv:
		e.handleRecv(ev.From, ev.Msg)
	case core.CallArrived:
		e.callArrived(ev)
	case core.EndArrived:
		e.endArrived(ev)
	case core.HistoryArrived:
		e.historyArrived(ev)
	case core.CallerDisconnected:
		e.callerDisconnected(ev.Req)
	case core.StreamBroken:
		e.streamBroken(ev)
	case core.VMList:
		e.applyVMList(ev.VMs)
	case core.StoreResult:
		e.handleStoreResult(ev)
	case core.StoreWatch:
		e.applyStoreChanges(ev.Records)
	case core.ConfigApplied:
		e.applyConfig(ev)
	case core.DrainRequested:
		e.startDrain()
	}
}

// finishStep handles the messages that the entry sent to itself and flushes the
// writes of the step. It repeats both until there are no more messages and
// writes.
func (e *Entry) finishStep() {
	for len(e.inbox) > 0 || len(e.dirty) > 0 {
		inbox := e.inbox
		e.inbox = nil
		for _, m := range inbox {
			e.handleMessage(e.self, m)
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
	e.probeStore()
	e.tickSlots()
	e.tickRequests()
	e.tickRefusals()
	e.tickDrain()
}

// handleRecv drops messages from incarnations that are confirmed dead and
// records that the sender was heard.
func (e *Entry) handleRecv(from core.Node, m core.Message) {
	if e.members.confirmedDead(from) {
		return
	}
	e.members.recordHeard(from, e.now)
	e.handleMessage(from, m)
}

func (e *Entry) handleMessage(from core.Node, m core.Message) {
	switch m := m.(type) {
	case core.Heartbeat:
		e.handleHeartbeat(from, m)
	case core.SlotQuery:
		e.handleSlotQuery(from)
	case core.SlotUpdate:
		e.handleSlotUpdate(m)
	case core.Handover:
		e.handleHandover(from, m)
	case core.PromiseRequest:
		e.handlePromiseRequest(from, m)
	case core.PromiseReply:
		e.handlePromiseReply(from, m)
	case core.ReplicaWrite:
		e.handleReplicaWrite(from, m)
	case core.ReplicaAck:
		e.handleReplicaAck(from, m)
	case core.Forward:
		e.handleForward(from, m)
	case core.EndRequest:
		e.handleEndRequest(from, m)
	case core.HistoryRequest:
		e.handleHistoryRequest(from, m)
	case core.HistoryFound:
		e.handleHistoryFound(m)
	case core.HistoryStored:
		e.handleHistoryStored(m)
	case core.Withdraw:
		e.handleWithdraw(m.Req)
	case core.Placed:
		e.handlePlaced(m)
	case core.Finished:
		e.handleFinished(m)
	case core.Result:
		e.handleResult(from, m)
	case core.LoadReport:
		e.recordLoad(from, m.Load)
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

// applyConfig applies a configuration if it is newer than the current one. Only
// the first configuration determines the number of slots.
func (e *Entry) applyConfig(ev core.ConfigApplied) {
	if ev.Set == nil || ev.Generation <= e.generation {
		return
	}
	e.invariants.Check(invariant.ConfigMonotonic, ev.Generation > e.generation,
		"%s: configuration generation %d applied after %d", e.self, ev.Generation, e.generation)
	e.generation = ev.Generation
	e.set = ev.Set
	e.times = timesOf(ev.Set)
	e.members.listLag = e.times.listLag
	clear(e.placements)
	clear(e.retryBudgets)
	if e.slots == nil {
		e.createSlots(ev.Set.Ownership.Slots)
	}
}
