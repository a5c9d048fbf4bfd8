package ledger

import (
	"math"
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// Location is the position of a stored record; Offset and Length are in bytes.
type Location struct {
	Segment uint32
	Offset  uint32
	Length  uint32
}

// Event is an input of a Replica.
type Event interface{ event() }

// AppendRequested requests that records be stored. RequestID identifies the
// reply.
type AppendRequested struct {
	RequestID uint64
	Records   []*ledgerpb.Record
	// AreCopies means that the records come from another member, which knows how long they are
	// retained. They do not restart the retention: members that copied expired records from each
	// other would store them for good.
	AreCopies bool
}

// Stored reports the outcome of a Write: the records are durable, or Failed is set.
type Stored struct {
	RequestID uint64
	Summaries []Summary
	Records   []*ledgerpb.Record
	AreCopies bool
	Locations []Location
	// Failed means that the write failed and the records are not durable.
	Failed bool
}

// ChainRequested requests a turn and all turns before it in the conversation.
type ChainRequested struct {
	RequestID uint64
	Turn      string
	// MaxBytes is the size of the longest chain that may be replied; 0 means no bound.
	MaxBytes uint64
}

// KeysRequested requests the keys of all stored records or, if a turn is given, of what is stored of
// its chain.
type KeysRequested struct {
	RequestID uint64
	Chain     string
}

// RecordsRequested requests the stored records with these keys.
type RecordsRequested struct {
	RequestID uint64
	Keys      []uint64
}

// Loaded reports a record that was found on the disk at startup, in the order in which
// the records were written.
type Loaded struct {
	Summary  Summary
	Location Location
}

// Damaged reports stored records that cannot be read any more. The replica then lacks
// them until they are copied from other members.
type Damaged struct{ Locations []Location }

// Recovered reports that the replica has copied every record that a quorum has stored.
// Damages is the number of Damaged events before the copying began. If there were more
// since, the replica may lack those records and stays unready.
type Recovered struct{ Damages uint64 }

// Outdated reports that the replica may lack records that a quorum has stored.
type Outdated struct{}

// Tick triggers the periodic check for programs whose retention has ended.
type Tick struct{}

func (AppendRequested) event()     {}
func (Stored) event()              {}
func (ChainRequested) event()      {}
func (KeysRequested) event()       {}
func (RecordsRequested) event()    {}
func (Loaded) event()              {}
func (Damaged) event()             {}
func (Recovered) event()           {}
func (Outdated) event()            {}
func (Tick) event()                {}
func (RetentionsRequested) event() {}
func (ExpiryAnswered) event()      {}

// Effect is an output of a Replica.
type Effect interface{ effect() }

// Write requests that records be made durable; the outcome is reported by Stored.
type Write struct {
	RequestID uint64
	Summaries []Summary
	Records   []*ledgerpb.Record
	AreCopies bool
}

// Reply responds to a request.
type Reply struct {
	RequestID uint64
	Response  *ledgerpb.Response
}

// ReplyChain responds with the turns at the locations, oldest first. If this member
// lacks the turn that precedes them, Missing is that turn's ID; otherwise it is empty.
type ReplyChain struct {
	RequestID uint64
	Locations []Location
	Missing   string
}

// ReplyRecords responds with the records at the locations.
type ReplyRecords struct {
	RequestID uint64
	Locations []Location
}

// ChainNeeded reports that a turn was appended of whose chain this replica lacks the given turn. It
// is not acknowledged before the chain has been copied from other members.
type ChainNeeded struct{ Turn string }

// DropSegment removes a segment whose records have all expired.
type DropSegment struct{ Segment uint32 }

func (Write) effect()        {}
func (Reply) effect()        {}
func (ReplyChain) effect()   {}
func (ReplyRecords) effect() {}
func (DropSegment) effect()  {}
func (ExpiryDue) effect()    {}
func (ChainNeeded) effect()  {}

// program is the state of one program.
type program struct {
	attempts map[uint64]attempt
	// lastTarget is the target that ran the attempt that was settled last.
	lastTarget string
	recordKeys []Key
	turnIDs    []string
	// continued are the turns, most likely of other programs, that turns of this one continue.
	continued    []string
	lastActivity time.Time
	retention    time.Duration
}

// turn is the index entry of a stored turn.
type turn struct {
	program, previous string
	location          Location
	// wholeAt is the value of removals at which all turns before it were found to be stored, too.
	wholeAt uint64
}

// Replica is the state machine of one member's copy of the ledger: it maps events to
// effects and does no I/O. Invariant: a record that was acknowledged is in locations and stays
// there until a quorum has found that the retention of its program has ended (see ExpiryDue). It
// is not safe for concurrent use.
type Replica struct {
	ready bool
	// damages counts the Damaged events.
	damages   uint64
	programs  map[string]*program
	turns     map[string]turn
	locations map[Key]Location
	// partial has the turns whose chain was not whole when they were stored, by their keys.
	partial map[Key]string
	// removals counts the removals of turns, after each of which chains may not be whole any more.
	removals uint64
	// liveRecords counts the unexpired records of each segment.
	liveRecords map[uint32]int
	// newestSegment is the segment being written; it is never dropped.
	newestSegment uint32
	awaits        awaits
	// nextExpiry is the time of the next check for programs whose retention has ended.
	nextExpiry time.Time
}

// EndlessChainBytes is the size, in bytes, that is stated of a chain that has no end.
const EndlessChainBytes = math.MaxInt32

// NewReplica returns an empty replica. Ready states that no quorum has stored a
// record that the replica lacks.
func NewReplica(ready bool) *Replica {
	return &Replica{
		ready:       ready,
		programs:    make(map[string]*program),
		turns:       make(map[string]turn),
		locations:   make(map[Key]Location),
		liveRecords: make(map[uint32]int),
		partial:     make(map[Key]string),
		removals:    1,
		awaits:      newAwaits(),
	}
}

// Ready reports whether the replica counts towards a quorum.
func (r *Replica) Ready() bool { return r.ready }

// Programs returns the number of programs that have not expired.
func (r *Replica) Programs() int { return len(r.programs) }

// Records returns the number of stored records.
func (r *Replica) Records() int { return len(r.locations) }

// HasRecord reports whether the record with the key is stored.
func (r *Replica) HasRecord(key Key) bool {
	_, ok := r.locations[key]
	return ok
}

// LocationsExcept returns the locations of the stored records whose keys are not in
// known.
func (r *Replica) LocationsExcept(known map[Key]bool) []Location {
	var locations []Location
	for key, at := range r.locations {
		if !known[key] {
			locations = append(locations, at)
		}
	}
	return locations
}

// Step applies one event and returns its effects in order.
func (r *Replica) Step(ev Event, now time.Time) []Effect {
	switch e := ev.(type) {
	case AppendRequested:
		return r.startAppend(e, now)
	case Stored:
		return r.finishAppend(e, now)
	case RecordsAwaited:
		return r.awaitRecords(e)
	case AwaitEnded:
		return r.endAwait(e)
	case ChainRequested:
		return []Effect{r.readChain(e)}
	case KeysRequested:
		return []Effect{r.listKeys(e)}
	case RetentionsRequested:
		return []Effect{r.readRetentions(e, now)}
	case RecordsRequested:
		return []Effect{r.readRecords(e)}
	case Loaded:
		r.applyFact(&e.Summary, now)
		r.indexRecord(&e.Summary, e.Location)
	case Damaged:
		r.forget(e.Locations)
		r.damages++
		r.ready = false
	case Recovered:
		r.ready = r.ready || e.Damages == r.damages
	case Outdated:
		r.ready = false
	case Tick:
		return r.checkExpiry(now)
	case ExpiryAnswered:
		return r.expire(e)
	}
	return nil
}

// startAppend applies the records at once and writes those that are not stored yet. A
// reservation counts towards the spending as soon as it arrives, before it is
// durable, so that two concurrent reservations see each other.
func (r *Replica) startAppend(e AppendRequested, now time.Time) []Effect {
	var missing []*ledgerpb.Record
	var summaries []Summary
	if e.AreCopies {
		now = time.Time{}
	}
	for _, rec := range e.Records {
		summary, ok := Summarize(rec)
		if !ok {
			continue
		}
		r.applyFact(&summary, now)
		if _, stored := r.locations[summary.Key]; !stored {
			missing = append(missing, rec)
			summaries = append(summaries, summary)
			r.awaits.writes[summary.Key]++
		}
	}
	if len(missing) == 0 {
		return r.replyAppend(e.RequestID, e.Records)
	}
	return []Effect{Write{RequestID: e.RequestID, Summaries: summaries, Records: missing, AreCopies: e.AreCopies}}
}

// finishAppend indexes the records of a completed write and responds to the append. The facts are
// applied again, since the program may have expired while the record was being written.
func (r *Replica) finishAppend(e Stored, now time.Time) []Effect {
	if e.Failed {
		failed := Reply{RequestID: e.RequestID, Response: &ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED}}
		return append([]Effect{failed}, r.endWrites(e.Summaries, false)...)
	}
	if e.AreCopies {
		now = time.Time{}
	}
	for i := range e.Summaries {
		r.applyFact(&e.Summaries[i], now)
		r.indexRecord(&e.Summaries[i], e.Locations[i])
	}
	return append(r.replyAppend(e.RequestID, e.Records), r.endWrites(e.Summaries, true)...)
}

// replyAppend responds to an append, with the budgets of the programs for which the records reserve
// tokens.
//
// Invariant: a turn is acknowledged only with its chain. The members that have acknowledged it know
// what it continues, so they retain the chain as long as the turn, whatever the others know.
func (r *Replica) replyAppend(requestID uint64, records []*ledgerpb.Record) []Effect {
	response := &ledgerpb.Response{Status: r.status()}
	effects := []Effect{Reply{RequestID: requestID, Response: response}}
	for _, rec := range records {
		if missing := r.missingTurn(rec.GetTurn().GetId()); missing != "" {
			response.Status = ledgerpb.Status_STATUS_RECOVERING
			effects = append(effects, ChainNeeded{Turn: missing})
		}
		reservation := rec.GetReservation()
		if reservation == nil {
			continue
		}
		response.Budgets = append(response.Budgets, r.budget(reservation.GetProgram()))
	}
	return effects
}

// HasChain reports whether a turn and all turns before it are stored.
func (r *Replica) HasChain(turn string) bool { return r.missingTurn(turn) == "" }

// missingTurn returns the turn at which the chain of a turn breaks off here; empty if it is whole or
// has no end.
func (r *Replica) missingTurn(id string) string {
	var chain []string
	for id != "" && len(chain) <= len(r.turns) {
		t, ok := r.turns[id]
		if !ok {
			return id
		}
		if t.wholeAt == r.removals {
			break
		}
		chain = append(chain, id)
		id = t.previous
	}
	for _, whole := range chain {
		t := r.turns[whole]
		t.wholeAt = r.removals
		r.turns[whole] = t
	}
	return ""
}

func (r *Replica) status() ledgerpb.Status {
	if r.ready {
		return ledgerpb.Status_STATUS_OK
	}
	return ledgerpb.Status_STATUS_RECOVERING
}

func (r *Replica) budget(name string) *ledgerpb.Budget {
	budget := &ledgerpb.Budget{Program: name}
	p := r.programs[name]
	if p == nil {
		return budget
	}
	budget.LastTarget = p.lastTarget
	for key, a := range p.attempts {
		budget.Attempts = append(budget.Attempts, &ledgerpb.Attempt{Key: key, Tokens: a.tokens, Settled: a.settled, Software: a.software, Sequence: a.sequence})
	}
	return budget
}

// applyFact updates the state of the record's program, whose retention it restarts. With the zero
// time, the retention goes on as it was, and that of an unknown program has ended.
func (r *Replica) applyFact(s *Summary, now time.Time) {
	p := r.retainProgram(s.Program, s.RetentionMS, now)
	a := p.attempts[s.Attempt]
	switch s.Kind {
	case ReservationKind:
		if !a.settled {
			a.tokens = s.Tokens
		}
		p.attempts[s.Attempt] = a.withSoftware(s.Software, s.Sequence)
	case OriginKind:
		p.attempts[s.Attempt] = a.withSoftware(s.Software, s.Sequence)
	case SettlementKind:
		a.tokens, a.settled = s.Tokens, true
		p.attempts[s.Attempt] = a
		if s.Target != "" {
			p.lastTarget = s.Target
		}
	}
}

// retainProgram returns the state of a program, which it creates if necessary, with a retention that
// begins at now at the earliest.
func (r *Replica) retainProgram(name string, retentionMS uint64, now time.Time) *program {
	p := r.programs[name]
	if p == nil {
		p = &program{attempts: make(map[uint64]attempt)}
		r.programs[name] = p
	}
	if now.After(p.lastActivity) {
		p.lastActivity = now
	}
	p.retention = max(p.retention, time.Duration(retentionMS)*time.Millisecond)
	return p
}

// indexRecord records the location of a stored record, whose fact has been applied. If the record
// has been stored before, the newer location replaces the older one, which may be damaged.
func (r *Replica) indexRecord(s *Summary, at Location) {
	r.newestSegment = max(r.newestSegment, at.Segment)
	old, known := r.locations[s.Key]
	if known {
		r.liveRecords[old.Segment]--
	}
	r.locations[s.Key] = at
	r.liveRecords[at.Segment]++
	if s.Kind == TurnKind {
		r.turns[s.Turn] = turn{program: s.Program, previous: s.Previous, location: at}
		if r.missingTurn(s.Turn) != "" {
			r.partial[s.Key] = s.Turn
		}
	}
	if known {
		return
	}
	p := r.programs[s.Program]
	p.recordKeys = append(p.recordKeys, s.Key)
	if s.Kind == TurnKind {
		p.turnIDs = append(p.turnIDs, s.Turn)
		if previous, known := r.turns[s.Previous]; s.Previous != "" && (!known || previous.program != s.Program) {
			p.continued = append(p.continued, s.Previous)
		}
	}
}

// forget removes the records at the locations from the index. Their effect on the
// spending of programs remains.
func (r *Replica) forget(lost []Location) {
	isLost := make(map[Location]bool, len(lost))
	for _, at := range lost {
		isLost[at] = true
	}
	for key, at := range r.locations {
		if isLost[at] {
			r.liveRecords[at.Segment]--
			delete(r.locations, key)
		}
	}
	for id, t := range r.turns {
		if isLost[t.location] {
			delete(r.turns, id)
			r.removals++
		}
	}
}

// readChain locates a turn and its predecessors. NOT_FOUND is only returned for the
// requested turn. A predecessor must exist, so if this member lacks one, the response
// names it and the caller reads the rest of the chain from other members. Turns of several programs
// with the same id can make a chain without end, which is too long for any caller.
func (r *Replica) readChain(e ChainRequested) Effect {
	var locations []Location
	id := e.Turn
	for id != "" {
		t, ok := r.turns[id]
		if !ok {
			break
		}
		if len(locations) == len(r.turns) {
			return Reply{RequestID: e.RequestID, Response: &ledgerpb.Response{Status: ledgerpb.Status_STATUS_TOO_LONG, ChainBytes: EndlessChainBytes}}
		}
		locations = append(locations, t.location)
		id = t.previous
	}
	if len(locations) == 0 {
		status := ledgerpb.Status_STATUS_NOT_FOUND
		if !r.ready {
			status = ledgerpb.Status_STATUS_RECOVERING
		}
		return Reply{RequestID: e.RequestID, Response: &ledgerpb.Response{Status: status}}
	}
	size := uint64(0)
	for _, at := range locations {
		size += uint64(at.Length)
	}
	if e.MaxBytes > 0 && size > e.MaxBytes {
		return Reply{RequestID: e.RequestID, Response: &ledgerpb.Response{Status: ledgerpb.Status_STATUS_TOO_LONG, ChainBytes: size}}
	}
	slices.Reverse(locations)
	return ReplyChain{RequestID: e.RequestID, Locations: locations, Missing: id}
}

func (r *Replica) listKeys(e KeysRequested) Effect {
	if e.Chain != "" {
		return Reply{RequestID: e.RequestID, Response: &ledgerpb.Response{Status: r.status(), Keys: r.chainKeys(e.Chain)}}
	}
	response := &ledgerpb.Response{Status: r.status(), Keys: make([]uint64, 0, len(r.locations))}
	for key := range r.locations {
		response.Keys = append(response.Keys, uint64(key))
	}
	return Reply{RequestID: e.RequestID, Response: response}
}

// chainKeys returns the keys of what is stored of a chain.
func (r *Replica) chainKeys(id string) []uint64 {
	var keys []uint64
	for len(keys) <= len(r.turns) {
		t, ok := r.turns[id]
		if !ok {
			break
		}
		keys = append(keys, uint64(keyFor(keyTurn, t.program, id)))
		id = t.previous
	}
	return keys
}

func (r *Replica) readRecords(e RecordsRequested) Effect {
	locations := make([]Location, 0, len(e.Keys))
	for _, key := range e.Keys {
		if at, ok := r.locations[Key(key)]; ok {
			locations = append(locations, at)
		}
	}
	return ReplyRecords{RequestID: e.RequestID, Locations: locations}
}
