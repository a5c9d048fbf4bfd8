package ledger

import (
	"strconv"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// Kind is the kind of a record's fact. The values are stored in index frames.
type Kind uint8

// Kinds of facts.
const (
	ReservationKind Kind = 1
	SettlementKind  Kind = 2
	TurnKind        Kind = 3
	OriginKind      Kind = 4
)

// Summary is the part of a record that the replica's state consists of: all but the text
// of a turn.
type Summary struct {
	Key     Key
	Kind    Kind
	Program string
	// Attempt is the AttemptKey of a reservation, settlement or origin, and Tokens the number
	// of tokens.
	Attempt, Tokens uint64
	// RetentionMS is how long the program's records are stored, in milliseconds.
	RetentionMS uint64
	// Target is the target that ran the settled attempt, or empty.
	Target string
	// Software is the hash of the software that executes the attempt of a reservation or
	// origin, or 0, and Sequence the order of the origin.
	Software uint64
	Sequence uint32
	// Turn and Previous are the ids of a turn and of the turn that it continues.
	Turn, Previous string
}

// Summarize returns the summary of a record. It returns false if the record's fact is
// missing or of an unknown kind.
func Summarize(rec *ledgerpb.Record) (Summary, bool) {
	switch fact := rec.GetFact().(type) {
	case *ledgerpb.Record_Reservation:
		f := fact.Reservation
		return Summary{
			Key: keyFor(keyReservation, f.GetProgram(), f.GetAttempt()), Kind: ReservationKind, Program: f.GetProgram(),
			Attempt: AttemptKey(f.GetAttempt()), Tokens: f.GetTokens(), RetentionMS: f.GetRetentionMs(), Software: f.GetSoftware(),
		}, true
	case *ledgerpb.Record_Settlement:
		f := fact.Settlement
		return Summary{
			Key: keyFor(keySettlement, f.GetProgram(), f.GetAttempt()), Kind: SettlementKind, Program: f.GetProgram(),
			Attempt: AttemptKey(f.GetAttempt()), Tokens: f.GetTokens(), Target: f.GetTarget(),
		}, true
	case *ledgerpb.Record_Turn:
		f := fact.Turn
		return Summary{
			Key: keyFor(keyTurn, f.GetProgram(), f.GetId()), Kind: TurnKind, Program: f.GetProgram(),
			RetentionMS: f.GetRetentionMs(), Turn: f.GetId(), Previous: f.GetPrevious(),
		}, true
	case *ledgerpb.Record_Origin:
		f := fact.Origin
		return Summary{
			Key: keyFor(keyOrigin, f.GetProgram(), f.GetAttempt()+"\x00"+strconv.FormatUint(uint64(f.GetSequence()), 10)), Kind: OriginKind, Program: f.GetProgram(),
			Attempt: AttemptKey(f.GetAttempt()), RetentionMS: f.GetRetentionMs(), Software: f.GetSoftware(), Sequence: f.GetSequence(),
		}, true
	default:
		return Summary{}, false
	}
}
