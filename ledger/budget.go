package ledger

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// Spending is the union of the attempts that members have recorded for one program.
type Spending struct {
	attempts   map[uint64]attempt
	lastTarget string
}

// attempt counts the tokens that one attempt has reserved or, once it is settled, spent.
type attempt struct {
	tokens  uint64
	settled bool
	// software is the hash of the software that executes the attempt, or 0, according to the
	// record with the highest sequence.
	software uint64
	sequence uint32
}

// withSoftware returns the attempt with what one more record says of its software.
func (a attempt) withSoftware(software uint64, sequence uint32) attempt {
	if software != 0 && (a.software == 0 || sequence > a.sequence) {
		a.software, a.sequence = software, sequence
	}
	return a
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
		known := s.attempts[a.GetKey()]
		switch {
		case known.settled:
		case a.GetSettled():
			known.tokens, known.settled = a.GetTokens(), true
		default:
			// A member may know the attempt by its origin alone.
			known.tokens = max(known.tokens, a.GetTokens())
		}
		s.attempts[a.GetKey()] = known.withSoftware(a.GetSoftware(), a.GetSequence())
	}
}

// Software returns the hash of the software that executes an attempt, or false if it is not
// known.
func (s *Spending) Software(attempt string) (hash uint64, ok bool) {
	hash = s.attempts[AttemptKey(attempt)].software
	return hash, hash != 0
}

// Budget returns the spending as a protobuf message.
func (s *Spending) Budget(program string) *ledgerpb.Budget {
	budget := &ledgerpb.Budget{Program: program, LastTarget: s.lastTarget, Attempts: make([]*ledgerpb.Attempt, 0, len(s.attempts))}
	for key, a := range s.attempts {
		budget.Attempts = append(budget.Attempts, &ledgerpb.Attempt{Key: key, Tokens: a.tokens, Settled: a.settled, Software: a.software, Sequence: a.sequence})
	}
	return budget
}

// LastTarget returns the target that ran a recent attempt of the program, or an empty
// string. It is a hint: members may disagree on which attempt was the last.
func (s *Spending) LastTarget() string { return s.lastTarget }

// Softwares returns the hashes of the software that began streams of the program, each once.
// Attempts without one began none.
func (s *Spending) Softwares() []uint64 {
	var hashes []uint64
	for _, a := range s.attempts {
		if a.software != 0 && !slices.Contains(hashes, a.software) {
			hashes = append(hashes, a.software)
		}
	}
	return hashes
}

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
