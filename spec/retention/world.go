// Package retention plays the life of records on the members of a ledger, in drawn order: appends
// are lost or late, members freeze, are killed or suspended, lose their disks, and expire programs
// whose retention has ended. The replicas are those of package ledger, under a view that stays as
// it is; package membership plays its changes.
//
// As long as no more disks are lost at the same time than allowed, these must hold until the
// retention of an acknowledged record ends: the other disks that may be lost can be lost without
// the loss of the record, no quorum lacks it, and each reservation sees what was spent. A turn is
// retained with its chain, whichever programs it belongs to.
//
// Like spec/ledger, it assumes that a writer's attempt ends when a member that acknowledged it
// loses its disk.
package retention

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

const (
	// retention is that of all programs.
	retention = time.Minute
	// tokens is what a reservation allows, and spent what a settlement states.
	tokens, spent = 100, 40
	// segmentRecords is the number of records of a segment.
	segmentRecords = 4
)

// Rules are the rules of the protocol. A test disables one at a time to show that what must hold
// depends on it.
type Rules struct {
	// AskQuorum removes programs only once a quorum has answered.
	AskQuorum bool
	// OnlyReadyAnswer counts only the answers of members that are ready.
	OnlyReadyAnswer bool
	// MergeRetentions adopts from the answers how long programs are retained.
	MergeRetentions bool
	// BoundAttempts ends attempts after ledger.MaxAppendTime.
	BoundAttempts bool
	// JudgeAtAsking judges the retention as of the time before the members were asked.
	JudgeAtAsking bool
	// AwaitChain acknowledges a turn only with its chain.
	AwaitChain bool
	// CopyAll makes a member that has lost its disk copy all records of its sources, also if some
	// of those expire meanwhile.
	CopyAll bool
}

// AllRules returns Rules with every rule of the implementation enabled.
func AllRules() Rules {
	return Rules{
		AskQuorum: true, OnlyReadyAnswer: true, MergeRetentions: true, JudgeAtAsking: true, BoundAttempts: true,
		AwaitChain: true, CopyAll: true,
	}
}

// fact is a record that a writer has tried to store.
type fact struct {
	record  *ledgerpb.Record
	summary ledger.Summary
	// ackedAt is when a quorum had acknowledged it; zero before.
	ackedAt time.Time
}

// attempt is a writer's attempt to store facts.
type attempt struct {
	facts    []*fact
	acks     map[*member]bool
	spending ledger.Spending
	// before are the reservations that were acknowledged before the attempt.
	before  []*fact
	began   time.Time
	isEnded bool
}

// World is a ledger with its writers.
type World struct {
	rules     Rules
	rand      *rand.Rand
	now       time.Time
	disksLost int
	view      ledger.View
	members   []*member
	attempts  []*attempt
	facts     []*fact
	turns     map[string]*fact
	lastID    int
	isCalm    bool
	// weights are those of the actions, and totalWeight is their sum.
	weights     []int
	totalWeight int
	trace       []string
	err         error
}

// NewWorld returns a world in which a number of members are ready.
func NewWorld(seed uint64, members, disksLost int, rules Rules) *World {
	w := &World{
		rules: rules, rand: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_000_000, 0), disksLost: disksLost, turns: make(map[string]*fact),
	}
	for _, action := range actions {
		weight := 1 + w.rand.IntN(action.max)
		w.weights = append(w.weights, weight)
		w.totalWeight += weight
	}
	w.view = ledger.View{Version: 1, Settled: true}
	for i := range members {
		m := &member{world: w, name: fmt.Sprint("m", i+1), clock: w.now.Add(time.Duration(i) * time.Hour), isUp: true, isComplete: true, segment: 1}
		m.replica = ledger.NewReplica(true)
		w.members = append(w.members, m)
		w.view.Seats = append(w.view.Seats, ledger.Seat{Name: m.name, Addr: m.name, Domain: m.name, Ready: true})
	}
	return w
}

// Play draws a number of steps. Then it ends all faults and lets all programs expire.
func (w *World) Play(steps int) error {
	for range steps {
		w.step()
		w.check()
		if w.err != nil {
			return fmt.Errorf("%w\n%s", w.err, w.trace)
		}
	}
	w.calm()
	if w.err != nil {
		return fmt.Errorf("%w\n%s", w.err, w.trace)
	}
	return nil
}

func (w *World) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%s "+format+"\n", append([]any{w.now.Sub(time.Unix(1_000_000, 0))}, args...)...))
}

func (w *World) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// chance reports true once in n times, and never in the calm at the end.
func (w *World) chance(n int) bool { return !w.isCalm && w.rand.IntN(n) == 0 }

// actions are what a step may be: a fault, or a step of a writer or of a member. Max is the highest
// weight that a world draws for it.
var actions = []struct {
	max int
	run func(w *World, m *member)
}{
	{1, func(_ *World, m *member) { m.kill() }},
	{1, func(_ *World, m *member) { m.freeze() }},
	{1, func(_ *World, m *member) { m.loseDisk() }},
	{6, func(_ *World, m *member) { m.wake() }},
	{6, func(_ *World, m *member) { m.start() }},
	{4, func(w *World, _ *member) { w.advance(time.Duration(w.rand.Int64N(int64(3 * time.Second)))) }},
	{3, func(w *World, _ *member) { w.advance(time.Duration(w.rand.Int64N(int64(50 * time.Second)))) }},
	{8, func(w *World, _ *member) { w.write() }},
	{4, func(_ *World, m *member) { m.receive() }},
	{4, func(_ *World, m *member) { m.completeWrite() }},
	{16, func(_ *World, m *member) { m.run() }},
}

// step draws an action.
func (w *World) step() {
	left := w.rand.IntN(w.totalWeight)
	for i, action := range actions {
		if left -= w.weights[i]; left < 0 {
			action.run(w, w.members[w.rand.IntN(len(w.members))])
			return
		}
	}
}

// advance lets time pass. A suspended machine's clock stands still.
func (w *World) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, m := range w.members {
		if !m.isSuspended {
			m.clock = m.clock.Add(d)
		}
		m.step(ledger.Tick{})
	}
}

// write starts an attempt to store the next records of a program, or gives one up.
func (w *World) write() {
	w.attempts = slices.DeleteFunc(w.attempts, func(a *attempt) bool { return a.isEnded })
	if len(w.attempts) > 0 && w.chance(6) {
		w.attempts[0].isEnded = true
		return
	}
	w.lastID++
	id := fmt.Sprint("t", w.lastID)
	program := fmt.Sprint("p", w.rand.IntN(3))
	a := &attempt{acks: make(map[*member]bool), began: w.now}
	switch w.rand.IntN(4) {
	case 0, 1:
		a.before = w.acked(func(f *fact) bool { return f.summary.Kind == ledger.ReservationKind && f.summary.Program == program })
		a.add(w, ledger.NewReservation(program, id, tokens, uint64(retention.Milliseconds())))
	case 2:
		reservations := w.acked(func(f *fact) bool { return f.summary.Kind == ledger.ReservationKind && w.isRetained(f) })
		if len(reservations) == 0 {
			return
		}
		r := reservations[w.rand.IntN(len(reservations))].record.GetReservation()
		if w.hasFact(ledger.SettlementKind, r.GetProgram(), ledger.AttemptKey(r.GetAttempt())) {
			return
		}
		a.add(w, ledger.NewSettlement(r.GetProgram(), r.GetAttempt(), spent, ""))
	default:
		previous := ""
		if readable := w.readable(); len(readable) > 0 && w.rand.IntN(4) > 0 {
			previous = readable[w.rand.IntN(len(readable))]
		}
		a.add(w, ledger.NewTurn(&ledgerpb.Turn{Program: program, Id: id, Previous: previous, RetentionMs: uint64(retention.Milliseconds())}))
	}
	w.attempts = append(w.attempts, a)
	for _, m := range w.members {
		if m.isUp && !w.chance(4) {
			m.inbox = append(m.inbox, a)
		}
		// Most appends are handled at once, some late.
		for !w.chance(5) && m.isRunning() && len(m.inbox)+len(m.writes) > 0 {
			m.receive()
			m.completeWrite()
		}
	}
}

// readable returns the turns whose chains running members can read, also after their retention.
func (w *World) readable() []string {
	var turns []string
	for _, f := range w.acked(func(f *fact) bool { return f.summary.Kind == ledger.TurnKind }) {
		for id := f.summary.Turn; ; id = w.turns[id].summary.Previous {
			if id == "" {
				turns = append(turns, f.summary.Turn)
				break
			}
			if !slices.ContainsFunc(w.members, func(m *member) bool { return m.isRunning() && m.holds(w.turns[id]) }) {
				break
			}
		}
	}
	return turns
}

func (a *attempt) add(w *World, rec *ledgerpb.Record) {
	summary, _ := ledger.Summarize(rec)
	f := &fact{record: rec, summary: summary}
	w.facts = append(w.facts, f)
	if summary.Kind == ledger.TurnKind {
		w.turns[summary.Turn] = f
	}
	a.facts = append(a.facts, f)
}

func (a *attempt) records() []*ledgerpb.Record {
	var records []*ledgerpb.Record
	for _, f := range a.facts {
		records = append(records, f.record)
	}
	return records
}

// acknowledge counts a member's response to an attempt.
func (w *World) acknowledge(a *attempt, m *member, response *ledgerpb.Response) {
	if a.isEnded || response.GetStatus() != ledgerpb.Status_STATUS_OK {
		return
	}
	if w.rules.BoundAttempts && w.now.Sub(a.began) > ledger.MaxAppendTime {
		a.isEnded = true
		return
	}
	a.acks[m] = true
	for _, budget := range response.GetBudgets() {
		a.spending.Merge(budget)
	}
	if len(a.acks) < w.view.Quorum(w.disksLost) {
		return
	}
	a.isEnded = true
	for _, f := range a.facts {
		f.ackedAt = w.now
		w.log("%d %s of %s is acknowledged", f.summary.Kind, f.summary.Turn, f.summary.Program)
		if r := f.record.GetReservation(); r != nil {
			if seen, committed := a.spending.Committed(r.GetAttempt()), w.committed(a.before); seen < committed {
				w.fail("a reservation of %s sees %d tokens in place of %d", r.GetProgram(), seen, committed)
			}
		}
	}
}

func (w *World) acked(is func(*fact) bool) []*fact {
	var found []*fact
	for _, f := range w.facts {
		if !f.ackedAt.IsZero() && is(f) {
			found = append(found, f)
		}
	}
	return found
}

func (w *World) hasFact(kind ledger.Kind, program string, attempt uint64) bool {
	return slices.ContainsFunc(w.facts, func(f *fact) bool {
		return f.summary.Kind == kind && f.summary.Program == program && f.summary.Attempt == attempt
	})
}

// committed returns what the attempts of reservations have spent or may still spend, of those that
// are retained.
func (w *World) committed(reservations []*fact) int {
	total := 0
	for _, f := range reservations {
		switch {
		case !w.isRetained(f):
		case w.hasFact(ledger.SettlementKind, f.summary.Program, f.summary.Attempt):
			total += spent
		default:
			total += tokens
		}
	}
	return total
}

// spans returns the times in which a program is retained because of its own records. A span ends
// once no record has been acknowledged for as long as the retention; records from before its end
// stay expired.
func (w *World) spans(program string) []span {
	var times []time.Time
	for _, f := range w.acked(func(f *fact) bool { return f.summary.Program == program }) {
		times = append(times, f.ackedAt)
	}
	slices.SortFunc(times, time.Time.Compare)
	var spans []span
	for _, at := range times {
		if last := len(spans) - 1; last >= 0 && !at.After(spans[last].end) {
			spans[last].end = at.Add(retention)
			continue
		}
		spans = append(spans, span{at, at.Add(retention)})
	}
	return spans
}

// span is a time in which a program is retained without a pause.
type span struct{ begin, end time.Time }

// isRetained reports whether a record that was acknowledged must still be stored: because of its
// own program, or because a turn that continues it is retained.
func (w *World) isRetained(f *fact) bool {
	for _, s := range w.spans(f.summary.Program) {
		if !f.ackedAt.Before(s.begin) && !f.ackedAt.After(s.end) && !w.now.After(s.end) {
			return true
		}
	}
	return f.summary.Kind == ledger.TurnKind && slices.ContainsFunc(w.facts, func(next *fact) bool {
		return !next.ackedAt.IsZero() && next.summary.Previous == f.summary.Turn && w.isRetained(next)
	})
}

// check notes an error if an acknowledged record may be lost while it is retained.
func (w *World) check() {
	lost := 0
	for _, m := range w.members {
		if m.hasLostDisk {
			lost++
		}
	}
	for _, f := range w.acked(w.isRetained) {
		holders, lacking := 0, 0
		for _, m := range w.members {
			switch {
			case m.holds(f):
				holders++
			case m.isComplete:
				lacking++
			}
		}
		if holders <= w.disksLost-lost {
			w.fail("%s of %s is on %d disks, of which %d more may be lost", f.record, f.summary.Program, holders, w.disksLost-lost)
		}
		if lacking >= w.view.Quorum(w.disksLost) {
			w.fail("a quorum lacks %s of %s", f.record, f.summary.Program)
		}
	}
}

// calm ends all faults and checks that all programs expire once their retention has ended.
func (w *World) calm() {
	w.log("calm")
	w.isCalm = true
	for _, a := range w.attempts {
		a.isEnded = true
	}
	// Records that are copied from another member are retained anew.
	const perRound, roundsPerMember = 40, 18
	for range roundsPerMember * (len(w.members) + 1) {
		for _, m := range w.members {
			m.wake()
			m.start()
			for range perRound {
				m.receive()
				m.completeWrite()
				m.run()
			}
		}
		if w.check(); w.err != nil {
			return
		}
		w.advance(5 * time.Second)
	}
	for _, m := range w.members {
		if !m.isComplete || m.replica.Programs() > 0 {
			w.fail("%s is not ready, or stores %d programs whose retention has ended", m.name, m.replica.Programs())
		}
	}
}
