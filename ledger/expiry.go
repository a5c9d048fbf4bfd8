package ledger

import "time"

// expire removes programs whose retention has ended and whose turns no other one continues, and
// drops segments without unexpired records.
func (r *Replica) expire(now time.Time) []Effect {
	if now.Before(r.nextExpiry) {
		return nil
	}
	r.nextExpiry = now.Add(expiryPeriod)
	retained := r.retainedPrograms(now)
	for name, p := range r.programs {
		if !retained[name] {
			r.removeProgram(name, p)
		}
	}
	var effects []Effect
	for segment, live := range r.liveRecords {
		if live == 0 && segment < r.newestSegment {
			delete(r.liveRecords, segment)
			effects = append(effects, DropSegment{Segment: segment})
		}
	}
	return effects
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
	}
	for _, id := range p.turnIDs {
		delete(r.turns, id)
	}
	delete(r.programs, name)
}
