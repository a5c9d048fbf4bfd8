package retention

import (
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// member is one VM with its disk.
type member struct {
	world *World
	name  string
	// clock is the VM's steady clock.
	clock   time.Time
	replica *ledger.Replica
	// disk has the durable records, segment by segment.
	disk            []stored
	segment, offset uint32
	// isComplete means that the disk has what quorums have stored, hasLostDisk that it has not since
	// it was lost.
	isComplete, hasLostDisk bool
	isUp                    bool
	isFrozen, isSuspended   bool
	inbox                   []*attempt
	writes                  []ledger.Write
	// requests has what becomes of the responses to requests.
	requests    map[uint64]func(*ledgerpb.Response)
	lastRequest uint64
	// needed is a turn that the chain of another one lacks here, and chain what a member has listed
	// of it.
	needed      string
	chain       []uint64
	chainSource *member
	copies      *copying
	round       *round
}

type stored struct {
	record   *ledgerpb.Record
	location ledger.Location
}

// copying is the recovery of a member that has lost its disk.
type copying struct {
	// from are the members copied from, source the one being copied from, and keys what it listed.
	from   map[*member]bool
	source *member
	keys   []uint64
}

// round is the confirmation of an ExpiryDue.
type round struct {
	due     ledger.ExpiryDue
	peers   []*member
	answers []ledger.ExpiryAnswer
}

func (m *member) isRunning() bool { return m.isUp && !m.isFrozen }

// holds reports whether the record survives on the disk of the member.
func (m *member) holds(f *fact) bool {
	if m.isUp {
		return m.replica.HasRecord(f.summary.Key)
	}
	return slices.ContainsFunc(m.disk, func(s stored) bool { return s.record == f.record })
}

func (m *member) kill() {
	if !m.isUp {
		return
	}
	m.world.log("%s is killed", m.name)
	for len(m.writes) > 0 && m.world.chance(2) {
		// The write is durable, but not acknowledged.
		m.persist(m.writes[0])
		m.writes = m.writes[1:]
	}
	m.isUp, m.isFrozen, m.isSuspended = false, false, false
	m.inbox, m.writes, m.requests, m.copies, m.round = nil, nil, nil, nil, nil
	m.needed, m.chainSource = "", nil
}

func (m *member) start() {
	if m.isUp {
		return
	}
	m.world.log("%s starts", m.name)
	m.isUp = true
	m.replica = ledger.NewReplica(m.isComplete)
	for _, s := range m.disk {
		summary, _ := ledger.Summarize(s.record)
		m.replica.Step(ledger.Loaded{Summary: summary, Location: s.location}, m.clock)
	}
}

func (m *member) freeze() {
	if m.isRunning() {
		m.isFrozen, m.isSuspended = true, m.world.chance(2)
		m.world.log("%s freezes, suspended %t", m.name, m.isSuspended)
	}
}

func (m *member) wake() {
	if !m.isFrozen {
		return
	}
	m.world.log("%s wakes", m.name)
	m.isFrozen, m.isSuspended = false, false
	if m.world.chance(2) {
		// Connections have ended meanwhile.
		m.inbox = nil
	}
}

func (m *member) loseDisk() {
	lost := 0
	for _, other := range m.world.members {
		if other.hasLostDisk {
			lost++
		}
	}
	if m.hasLostDisk || lost >= m.world.disksLost {
		return
	}
	m.kill()
	m.world.log("%s loses its disk", m.name)
	m.disk, m.isComplete, m.hasLostDisk = nil, false, true
	for _, a := range m.world.attempts {
		a.isEnded = a.isEnded || a.acks[m]
	}
}

// step passes an event to the replica and runs its effects.
func (m *member) step(ev ledger.Event) {
	if !m.isRunning() {
		return
	}
	for _, effect := range m.replica.Step(ev, m.clock) {
		switch e := effect.(type) {
		case ledger.Write:
			m.writes = append(m.writes, e)
		case ledger.Reply:
			if respond := m.requests[e.RequestID]; respond != nil {
				delete(m.requests, e.RequestID)
				respond(e.Response)
			}
		case ledger.DropSegment:
			m.disk = slices.DeleteFunc(m.disk, func(s stored) bool { return s.location.Segment == e.Segment })
		case ledger.ChainNeeded:
			m.needed = e.Turn
		case ledger.ExpiryDue:
			if m.round == nil {
				m.round = &round{due: e, peers: m.others()}
			}
		}
	}
}

func (m *member) newRequest(respond func(*ledgerpb.Response)) uint64 {
	if m.requests == nil {
		m.requests = make(map[uint64]func(*ledgerpb.Response))
	}
	m.lastRequest++
	m.requests[m.lastRequest] = respond
	return m.lastRequest
}

// others returns the other members in drawn order.
func (m *member) others() []*member {
	others := slices.DeleteFunc(slices.Clone(m.world.members), func(other *member) bool { return other == m })
	m.world.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// receive handles an append that has arrived, in any order and after any time.
func (m *member) receive() {
	if !m.isRunning() || len(m.inbox) == 0 {
		return
	}
	i := m.world.rand.IntN(len(m.inbox))
	a := m.inbox[i]
	if m.world.chance(8) {
		// The response is lost, and the attempt is sent again.
		m.append(a.records(), false, func(*ledgerpb.Response) {})
		return
	}
	m.inbox = slices.Delete(m.inbox, i, i+1)
	m.append(a.records(), false, func(response *ledgerpb.Response) {
		if response.GetStatus() == ledgerpb.Status_STATUS_RECOVERING {
			if m.isComplete && !m.world.rules.AwaitChain {
				response.Status = ledgerpb.Status_STATUS_OK
			} else if !a.isEnded {
				m.inbox = append(m.inbox, a)
			}
		}
		m.world.acknowledge(a, m, response)
	})
}

func (m *member) append(records []*ledgerpb.Record, areCopies bool, respond func(*ledgerpb.Response)) {
	m.step(ledger.AppendRequested{RequestID: m.newRequest(respond), Records: records, AreCopies: areCopies})
}

// completeWrite ends the oldest write.
func (m *member) completeWrite() {
	if !m.isRunning() || len(m.writes) == 0 {
		return
	}
	next := m.writes[0]
	m.writes = m.writes[1:]
	done := ledger.Stored{RequestID: next.RequestID, Summaries: next.Summaries, Records: next.Records, AreCopies: next.AreCopies}
	if done.Failed = m.world.chance(12); !done.Failed {
		done.Locations = m.persist(next)
	}
	m.step(done)
}

func (m *member) persist(w ledger.Write) []ledger.Location {
	var locations []ledger.Location
	for _, rec := range w.Records {
		if m.offset++; m.offset > segmentRecords {
			m.segment, m.offset = m.segment+1, 1
		}
		at := ledger.Location{Segment: m.segment, Offset: m.offset, Length: 1}
		m.disk = append(m.disk, stored{rec, at})
		locations = append(locations, at)
	}
	return locations
}

// run makes one step of what the member does by itself.
func (m *member) run() {
	switch {
	case !m.isRunning():
	case !m.isComplete:
		m.recover()
	case m.needed != "" && m.world.rand.IntN(2) == 0:
		m.copyChain()
	case m.round != nil:
		m.confirm()
	}
}

// copyChain makes one step to copy the chain of an appended turn.
func (m *member) copyChain() {
	if m.chainSource != nil {
		if left, ok := m.fetch(m.chainSource, m.chain); ok && len(left) > 0 {
			m.chain = left
			return
		}
		m.needed, m.chainSource = "", nil
		return
	}
	peer := m.others()[0]
	if listed := m.ask(peer, func(id uint64) ledger.Event { return ledger.KeysRequested{RequestID: id, Chain: m.needed} }); listed != nil {
		m.chainSource, m.chain = peer, listed.GetKeys()
	}
}

// ask returns a running member's response to a request; nil if there is none.
func (m *member) ask(peer *member, request func(id uint64) ledger.Event) *ledgerpb.Response {
	if !peer.isRunning() || m.world.chance(6) {
		return nil
	}
	var response *ledgerpb.Response
	peer.step(request(peer.newRequest(func(r *ledgerpb.Response) { response = r })))
	return response
}

// fetch stores some of the records with these keys that this member lacks. It returns the keys of
// those that are left, and false if it fails.
func (m *member) fetch(source *member, keys []uint64) (left []uint64, ok bool) {
	const perStep = 2
	if !source.isRunning() || m.world.chance(8) {
		return nil, false
	}
	fetched := 0
	for i, key := range keys {
		if m.replica.HasRecord(ledger.Key(key)) {
			continue
		}
		if fetched == perStep {
			return keys[i:], true
		}
		fetched++
		at := slices.IndexFunc(source.disk, func(s stored) bool {
			summary, _ := ledger.Summarize(s.record)
			return uint64(summary.Key) == key
		})
		if at < 0 || !source.replica.HasRecord(ledger.Key(key)) {
			if !m.world.rules.CopyAll {
				return nil, true
			}
			continue
		}
		isStored := false
		m.append([]*ledgerpb.Record{source.disk[at].record}, m.isComplete, func(r *ledgerpb.Response) { isStored = r.GetStatus() != ledgerpb.Status_STATUS_FAILED })
		for len(m.writes) > 0 {
			m.completeWrite()
		}
		if !isStored {
			return nil, false
		}
	}
	return nil, true
}

// recover copies from enough members that have not lost their disks.
func (m *member) recover() {
	if m.copies == nil {
		m.copies = &copying{from: make(map[*member]bool)}
	}
	c := m.copies
	if c.source != nil {
		left, ok := m.fetch(c.source, c.keys)
		if c.keys = left; !ok {
			c.source = nil
		}
		if ok && len(left) == 0 {
			c.from[c.source], c.source = true, nil
		}
	}
	if len(c.from) >= m.world.view.CopySources(m.name, m.world.disksLost) {
		m.world.log("%s has recovered", m.name)
		m.isComplete, m.hasLostDisk, m.copies = true, false, nil
		m.step(ledger.Recovered{})
		return
	}
	if c.source != nil {
		return
	}
	for _, peer := range m.others() {
		if peer.hasLostDisk || c.from[peer] {
			continue
		}
		if listed := m.ask(peer, func(id uint64) ledger.Event { return ledger.KeysRequested{RequestID: id} }); listed != nil {
			// The replica lists its keys in no particular order.
			c.source, c.keys = peer, slices.Sorted(slices.Values(listed.GetKeys()))
			return
		}
	}
}

// confirm makes one step towards the end of a round: it asks the next member, or reports the answers.
func (m *member) confirm() {
	r, rules := m.round, m.world.rules
	quorum := m.world.view.Quorum(m.world.disksLost)
	if !rules.AskQuorum {
		quorum = 1
	}
	needed := quorum
	if m.isComplete {
		needed--
	}
	if len(r.answers) >= needed || len(r.peers) == 0 {
		m.round = nil
		if !rules.JudgeAtAsking {
			r.due.At = m.clock
		}
		m.step(ledger.ExpiryAnswered{Due: r.due, Answers: r.answers, Quorum: quorum, Counts: true})
		return
	}
	peer := r.peers[0]
	r.peers = r.peers[1:]
	response := m.ask(peer, func(id uint64) ledger.Event {
		return ledger.RetentionsRequested{RequestID: id, Programs: r.due.Programs}
	})
	if response == nil || rules.OnlyReadyAnswer && response.GetStatus() != ledgerpb.Status_STATUS_OK {
		return
	}
	retentions := response.GetRetentions()
	for _, retention := range retentions {
		retention.Stored = retention.Stored && rules.MergeRetentions
	}
	r.answers = append(r.answers, ledger.ExpiryAnswer{ReceivedAt: m.clock, Retentions: retentions})
}
