package ledger

import "github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"

// Spending is the union of the attempts that members have recorded for one program.
type Spending struct {
	attempts   map[uint64]attempt
	lastTarget string
}

// attempt counts the tokens that one attempt has reserved or, once it is settled, spent.
type attempt struct {
	tokens  uint64
	settled bool
}

// Merge adds the attempts that one member has recorded. A settlement replaces a
// reservation.
func (s *Spending) Merge(budget *ledgerpb.Budget) {
	if s.attempts == nil {
		s.attempts = make(map[uint64]attempt, len(budget.GetAttempts()))
	}
	if budget.GetLastTarget() != "" {
		s.lastTarget = budget.GetLastTarget()
	}
	for _, a := range budget.GetAttempts() {
		if known, ok := s.attempts[a.GetKey()]; ok && known.settled {
			continue
		}
		s.attempts[a.GetKey()] = attempt{tokens: a.GetTokens(), settled: a.GetSettled()}
	}
}

// Budget returns the spending as a protobuf message.
func (s *Spending) Budget(program string) *ledgerpb.Budget {
	budget := &ledgerpb.Budget{Program: program, LastTarget: s.lastTarget, Attempts: make([]*ledgerpb.Attempt, 0, len(s.attempts))}
	for key, a := range s.attempts {
		budget.Attempts = append(budget.Attempts, &ledgerpb.Attempt{Key: key, Tokens: a.tokens, Settled: a.settled})
	}
	return budget
}

// LastTarget returns the target that ran a recent attempt of the program, or an empty
// string. It is a hint: members may disagree on which attempt was the last.
func (s *Spending) LastTarget() string { return s.lastTarget }

// Committed returns the tokens that the program's attempts other than self have spent
// or may still spend.
func (s *Spending) Committed(self string) int {
	own := AttemptKey(self)
	total := uint64(0)
	for key, a := range s.attempts {
		if key != own {
			total += a.tokens
		}
	}
	return int(total)
}
