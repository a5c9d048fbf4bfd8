package ledger

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

const (
	// MaxAppendTime bounds the time in which a writer collects the acknowledgements of a record.
	// The retention of the record begins with the last of them at the latest.
	MaxAppendTime = 10 * time.Second
	// expiryMargin is added to a program's retention. It is longer than MaxAppendTime, and if a
	// turn is requested just before its retention ends, retries of the request can still read it.
	expiryMargin = 15 * time.Second
	// expiryPeriod is the time between two checks for programs whose retention has ended.
	expiryPeriod = 5 * time.Second
	// maxExpiryPrograms bounds the programs of one ExpiryDue.
	maxExpiryPrograms = 1024
)

// ExpiryDue reports programs whose retention has ended as far as this replica knows. It may lack
// later records of them, which a quorum has stored without it, so other members have to be asked
// with RetentionsRequested; the outcome is reported by ExpiryAnswered.
type ExpiryDue struct {
	At       time.Time
	Programs []string
}

// RetentionsRequested requests what the replica knows of the retention of programs.
type RetentionsRequested struct {
	RequestID uint64
	Programs  []string
}

// ExpiryAnswered reports the answers of other members to an ExpiryDue.
type ExpiryAnswered struct {
	Due ExpiryDue
	// Answers are those of members that count and are ready.
	Answers []ExpiryAnswer
	// Quorum is the size of a quorum, and Counts states that this replica's member counts towards
	// one.
	Quorum int
	Counts bool
}

// ExpiryAnswer is the answer of one member to an ExpiryDue.
type ExpiryAnswer struct {
	ReceivedAt time.Time
	// Retentions has one element for each program.
	Retentions []*ledgerpb.Retention
}

// checkExpiry returns the programs whose retention seems to have ended, and drops segments without
// live records.
func (r *Replica) checkExpiry(now time.Time) []Effect {
	if now.Before(r.nextExpiry) {
		return nil
	}
	r.nextExpiry = now.Add(expiryPeriod)
	effects := r.dropSegments()
	retained := r.retainedPrograms(now)
	due := ExpiryDue{At: now}
	for name := range r.programs {
		if retained[name] {
			continue
		}
		if len(due.Programs) == maxExpiryPrograms {
			r.nextExpiry = now
			break
		}
		due.Programs = append(due.Programs, name)
	}
	if len(due.Programs) > 0 {
		effects = append(effects, due)
	}
	return effects
}

// expire removes the programs of which a quorum knows that their retention has ended.
//
// Invariant: any two quorums share a member, so what the members of one know together includes
// every record that was acknowledged before they were asked. A record that is acknowledged later
// does not restore what had expired by then.
func (r *Replica) expire(e ExpiryAnswered) []Effect {
	for _, answer := range e.Answers {
		r.mergeRetentions(e.Due.Programs, answer)
	}
	answers := len(e.Answers)
	if e.Counts && r.ready {
		answers++
	}
	if answers < e.Quorum {
		return nil
	}
	retained := r.retainedPrograms(e.Due.At)
	for _, name := range e.Due.Programs {
		if p := r.programs[name]; p != nil && !retained[name] {
			r.removeProgram(name, p)
		}
	}
	return r.dropSegments()
}

// mergeRetentions adopts later ends of the programs' retention from another member.
func (r *Replica) mergeRetentions(programs []string, answer ExpiryAnswer) {
	for i, retention := range answer.Retentions {
		p := r.programs[programs[i]]
		if p == nil || !retention.GetStored() {
			continue
		}
		active := answer.ReceivedAt.Add(-time.Duration(retention.GetIdleMs()) * time.Millisecond)
		if active.After(p.lastActivity) {
			p.lastActivity = active
		}
		p.retention = max(p.retention, time.Duration(retention.GetRetentionMs())*time.Millisecond)
	}
}

// retainedPrograms returns the programs whose retention has not ended, and those whose turns they
// continue: a turn is stored together with its chain.
func (r *Replica) retainedPrograms(now time.Time) map[string]bool {
	retained := make(map[string]bool, len(r.programs))
	var added []string
	for name, p := range r.programs {
		if now.Sub(p.lastActivity) <= p.retention+expiryMargin {
			retained[name] = true
			added = append(added, name)
		}
	}
	for len(added) > 0 {
		p := r.programs[added[len(added)-1]]
		added = added[:len(added)-1]
		for _, id := range p.continued {
			name := r.turns[id].program
			if r.programs[name] != nil && !retained[name] {
				retained[name] = true
				added = append(added, name)
			}
		}
	}
	return retained
}

func (r *Replica) removeProgram(name string, p *program) {
	for _, key := range p.recordKeys {
		if at, ok := r.locations[key]; ok {
			r.liveRecords[at.Segment]--
			delete(r.locations, key)
		}
		delete(r.partial, key)
	}
	for _, id := range p.turnIDs {
		if r.turns[id].program == name {
			delete(r.turns, id)
			r.removals++
		}
	}
	delete(r.programs, name)
}

func (r *Replica) dropSegments() []Effect {
	var effects []Effect
	for segment, live := range r.liveRecords {
		if live == 0 && segment < r.newestSegment {
			delete(r.liveRecords, segment)
			effects = append(effects, DropSegment{Segment: segment})
		}
	}
	return effects
}

// readRetentions responds with what this replica knows of the retention of programs.
func (r *Replica) readRetentions(e RetentionsRequested, now time.Time) Effect {
	response := &ledgerpb.Response{Status: r.status()}
	for _, name := range e.Programs {
		retention := &ledgerpb.Retention{}
		if p := r.programs[name]; p != nil {
			retention.Stored, retention.RetentionMs = true, uint64(p.retention.Milliseconds())
			retention.IdleMs = uint64(max(0, now.Sub(p.lastActivity).Milliseconds()))
		}
		response.Retentions = append(response.Retentions, retention)
	}
	return Reply{RequestID: e.RequestID, Response: response}
}
