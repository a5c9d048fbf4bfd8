package ledger

import (
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// expiryMargin is added to a program's retention, so that a turn that is asked
// for at the end of its retention is still there for all its retries.
const expiryMargin = 15 * time.Second

// Location is where a stored record lies.
type Location struct {
	Segment uint32
	Offset  uint32
	Length  uint32
}

// Event is an input of a Replica.
type Event interface{ event() }

// AppendRequested asks for records to be stored. Ticket names the answer.
type AppendRequested struct {
	RequestID uint64
	Records   []*ledgerpb.Record
}

// Stored reports that records are durable, or that they could not be written.
type Stored struct {
	RequestID uint64
	Keys      []Key
	Records   []*ledgerpb.Record
	Locations []Location
	// Failed says that the records are not durable.
	Failed bool
}

// ChainRequested asks for a turn and all turns before it.
type ChainRequested struct {
	RequestID uint64
	Turn      string
}

// KeysRequested asks for the keys of all stored records.
type KeysRequested struct{ RequestID uint64 }

// RecordsRequested asks for stored records.
type RecordsRequested struct {
	RequestID uint64
	Keys      []uint64
}

// Loaded is a record found on the disk at the start.
type Loaded struct {
	Record   *ledgerpb.Record
	Location Location
}

// Recovered reports that the replica has copied all that a quorum knows.
type Recovered struct{}

// Outdated reports that the replica may lack records that a quorum knows.
type Outdated struct{}

// Tick drives expiry.
type Tick struct{}

func (AppendRequested) event()  {}
func (Stored) event()           {}
func (ChainRequested) event()   {}
func (KeysRequested) event()    {}
func (RecordsRequested) event() {}
func (Loaded) event()           {}
func (Recovered) event()        {}
func (Outdated) event()         {}
func (Tick) event()             {}

// Effect is an output of a Replica.
type Effect interface{ effect() }

// Write asks for records to be made durable, then reported with Stored.
type Write struct {
	RequestID uint64
	Keys      []Key
	Records   []*ledgerpb.Record
}

// Reply answers a ticket.
type Reply struct {
	RequestID uint64
	Response  *ledgerpb.Response
}

// ReplyChain answers a ticket with the turns at the locations, oldest first.
// Missing is the turn before them if this member lacks it.
type ReplyChain struct {
	RequestID uint64
	Locations []Location
	Missing   string
}

// ReplyRecords answers a ticket with the records at the locations.
type ReplyRecords struct {
	RequestID uint64
	Locations []Location
}

// DropSegment removes a segment of which no record is needed any more.
type DropSegment struct{ Segment uint32 }

func (Write) effect()        {}
func (Reply) effect()        {}
func (ReplyChain) effect()   {}
func (ReplyRecords) effect() {}
func (DropSegment) effect()  {}

// program is what the replica knows of one program.
type program struct {
	attempts map[uint64]attempt
	// lastTarget ran the attempt that was settled last.
	lastTarget string
	keys       []Key
	turns      []string
	last       time.Time
	retention  time.Duration
}

// turn is where a kept turn lies.
type turn struct {
	previous string
	location Location
}

// Replica is one member's copy of the ledger. Invariant: a record that was
// acknowledged is in records, and stays until its program expires. It is a pure
// reducer and not safe for concurrent use.
type Replica struct {
	ready    bool
	programs map[string]*program
	turns    map[string]turn
	records  map[Key]Location
	// live counts the needed records of each segment.
	live map[uint32]int
	// newest is the segment that is written to; it is never dropped.
	newest uint32
	// nextExpiry is when the programs are looked through next.
	nextExpiry time.Time
}

// expiryPeriod is the time between two searches for expired programs.
const expiryPeriod = 5 * time.Second

// NewReplica returns an empty replica. A ready one holds all that a quorum knows.
func NewReplica(ready bool) *Replica {
	return &Replica{
		ready:    ready,
		programs: make(map[string]*program),
		turns:    make(map[string]turn),
		records:  make(map[Key]Location),
		live:     make(map[uint32]int),
	}
}

// Ready says whether the replica's answers count.
func (r *Replica) Ready() bool { return r.ready }

// Programs returns how many programs the replica knows.
func (r *Replica) Programs() int { return len(r.programs) }

// Records returns how many records the replica holds.
func (r *Replica) Records() int { return len(r.records) }

// Holds says whether the record of a key is stored.
func (r *Replica) Holds(key Key) bool {
	_, ok := r.records[key]
	return ok
}

// LocationsExcept returns where the records lie that are not among the known ones.
func (r *Replica) LocationsExcept(known map[Key]bool) []Location {
	var locations []Location
	for key, at := range r.records {
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
		return r.append(e, now)
	case Stored:
		return r.stored(e, now)
	case ChainRequested:
		return []Effect{r.chain(e)}
	case KeysRequested:
		return []Effect{r.keys(e)}
	case RecordsRequested:
		return []Effect{r.read(e)}
	case Loaded:
		if key, ok := KeyOf(e.Record); ok {
			r.know(e.Record, now)
			r.place(key, e.Record, e.Location)
		}
	case Recovered:
		r.ready = true
	case Outdated:
		r.ready = false
	case Tick:
		return r.expire(now)
	}
	return nil
}

// append takes the records into account at once and writes those that are not
// stored yet. A reservation counts from its arrival, not only when it is durable,
// so that two that race see each other.
func (r *Replica) append(e AppendRequested, now time.Time) []Effect {
	var missing []*ledgerpb.Record
	var keys []Key
	for _, rec := range e.Records {
		key, ok := KeyOf(rec)
		if !ok {
			continue
		}
		r.know(rec, now)
		if _, stored := r.records[key]; !stored {
			missing = append(missing, rec)
			keys = append(keys, key)
		}
	}
	if len(missing) == 0 {
		return []Effect{Reply{RequestID: e.RequestID, Response: r.appended(e.Records)}}
	}
	return []Effect{Write{RequestID: e.RequestID, Keys: keys, Records: missing}}
}

// stored completes an append.
func (r *Replica) stored(e Stored, _ time.Time) []Effect {
	if e.Failed {
		return []Effect{Reply{RequestID: e.RequestID, Response: &ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED}}}
	}
	for i, rec := range e.Records {
		r.place(e.Keys[i], rec, e.Locations[i])
	}
	return []Effect{Reply{RequestID: e.RequestID, Response: r.appended(e.Records)}}
}

// appended answers an append with the budgets of its reservations.
func (r *Replica) appended(records []*ledgerpb.Record) *ledgerpb.Response {
	response := &ledgerpb.Response{Status: r.status()}
	for _, rec := range records {
		reservation := rec.GetReservation()
		if reservation == nil {
			continue
		}
		response.Budgets = append(response.Budgets, r.budget(reservation.GetProgram()))
	}
	return response
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
		budget.Attempts = append(budget.Attempts, &ledgerpb.Attempt{Key: key, Tokens: a.tokens, Settled: a.settled})
	}
	return budget
}

// know takes a record's fact into account.
func (r *Replica) know(rec *ledgerpb.Record, now time.Time) {
	switch fact := rec.GetFact().(type) {
	case *ledgerpb.Record_Reservation:
		f := fact.Reservation
		p := r.touch(f.GetProgram(), f.GetRetentionMs(), now)
		key := AttemptKey(f.GetAttempt())
		if known, ok := p.attempts[key]; !ok || !known.settled {
			p.attempts[key] = attempt{tokens: f.GetTokens()}
		}
	case *ledgerpb.Record_Settlement:
		f := fact.Settlement
		p := r.touch(f.GetProgram(), 0, now)
		p.attempts[AttemptKey(f.GetAttempt())] = attempt{tokens: f.GetTokens(), settled: true}
		if f.GetTarget() != "" {
			p.lastTarget = f.GetTarget()
		}
	case *ledgerpb.Record_Turn:
		r.touch(fact.Turn.GetProgram(), fact.Turn.GetRetentionMs(), now)
	}
}

func (r *Replica) touch(name string, retentionMS uint64, now time.Time) *program {
	p := r.programs[name]
	if p == nil {
		p = &program{attempts: make(map[uint64]attempt)}
		r.programs[name] = p
	}
	p.last = now
	p.retention = max(p.retention, time.Duration(retentionMS)*time.Millisecond)
	return p
}

// place records where a stored record lies.
func (r *Replica) place(key Key, rec *ledgerpb.Record, at Location) {
	r.newest = max(r.newest, at.Segment)
	if _, known := r.records[key]; known {
		return
	}
	r.records[key] = at
	r.live[at.Segment]++
	p := r.programs[programOf(rec)]
	if p == nil {
		// The program expired while the record was written.
		p = r.touch(programOf(rec), 0, time.Time{})
	}
	p.keys = append(p.keys, key)
	if t := rec.GetTurn(); t != nil {
		r.turns[t.GetId()] = turn{previous: t.GetPrevious(), location: at}
		p.turns = append(p.turns, t.GetId())
	}
}

func programOf(rec *ledgerpb.Record) string {
	switch fact := rec.GetFact().(type) {
	case *ledgerpb.Record_Reservation:
		return fact.Reservation.GetProgram()
	case *ledgerpb.Record_Settlement:
		return fact.Settlement.GetProgram()
	case *ledgerpb.Record_Turn:
		return fact.Turn.GetProgram()
	}
	return ""
}

// chain finds a turn and those before it. Only the turn that was asked for can be
// unknown: one before it exists, and a member that lacks it names it, so that the
// caller asks the others.
func (r *Replica) chain(e ChainRequested) Effect {
	var locations []Location
	id := e.Turn
	for id != "" {
		t, ok := r.turns[id]
		if !ok {
			break
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
	slices.Reverse(locations)
	return ReplyChain{RequestID: e.RequestID, Locations: locations, Missing: id}
}

func (r *Replica) keys(e KeysRequested) Effect {
	response := &ledgerpb.Response{Status: r.status(), Keys: make([]uint64, 0, len(r.records))}
	for key := range r.records {
		response.Keys = append(response.Keys, uint64(key))
	}
	return Reply{RequestID: e.RequestID, Response: response}
}

func (r *Replica) read(e RecordsRequested) Effect {
	locations := make([]Location, 0, len(e.Keys))
	for _, key := range e.Keys {
		if at, ok := r.records[Key(key)]; ok {
			locations = append(locations, at)
		}
	}
	return ReplyRecords{RequestID: e.RequestID, Locations: locations}
}

// expire forgets programs whose retention is over and drops segments that hold
// nothing else.
func (r *Replica) expire(now time.Time) []Effect {
	if now.Before(r.nextExpiry) {
		return nil
	}
	r.nextExpiry = now.Add(expiryPeriod)
	for name, p := range r.programs {
		if now.Sub(p.last) > p.retention+expiryMargin {
			r.forget(name, p)
		}
	}
	var effects []Effect
	for segment, live := range r.live {
		if live == 0 && segment < r.newest {
			delete(r.live, segment)
			effects = append(effects, DropSegment{Segment: segment})
		}
	}
	return effects
}

func (r *Replica) forget(name string, p *program) {
	for _, key := range p.keys {
		if at, ok := r.records[key]; ok {
			r.live[at.Segment]--
			delete(r.records, key)
		}
	}
	for _, id := range p.turns {
		delete(r.turns, id)
	}
	delete(r.programs, name)
}
