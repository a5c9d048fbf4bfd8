package ledger

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// Key identifies a record. Two records with the same key state the same fact.
type Key uint64

// Prefixes that separate the keys of different kinds of records.
const (
	keyReservation = "r"
	keySettlement  = "s"
	keyTurn        = "t"
	keyOrigin      = "o"
)

func keyFor(kind, program, id string) Key {
	var d xxhash.Digest
	d.Reset()
	// Writes to a hash digest never fail.
	_, _ = d.WriteString(kind)
	_, _ = d.WriteString(program)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return Key(d.Sum64())
}

// AttemptKey identifies an attempt within its program's budget.
func AttemptKey(attempt string) uint64 { return xxhash.Sum64String(attempt) }

// NewReservation returns the record of an attempt that may generate at most the given
// number of tokens. Members store the program's records until retentionMS milliseconds
// after the program's last record.
func NewReservation(program, attempt string, tokens int, retentionMS uint64) *ledgerpb.Record {
	return &ledgerpb.Record{Fact: &ledgerpb.Record_Reservation{Reservation: &ledgerpb.Reservation{
		Program: program, Attempt: attempt, Tokens: uint64(max(tokens, 0)), RetentionMs: retentionMS,
	}}}
}

// NewSettlement returns the record of the tokens that an attempt generated at a target.
// Target is empty if no target ran it.
func NewSettlement(program, attempt string, tokens int, target string) *ledgerpb.Record {
	return &ledgerpb.Record{Fact: &ledgerpb.Record_Settlement{Settlement: &ledgerpb.Settlement{
		Program: program, Attempt: attempt, Tokens: uint64(max(tokens, 0)), Target: target,
	}}}
}

// NewOrigin returns the record that an attempt is executed by targets with the given software.
// The record with the highest sequence is valid; that of the reservation is 0.
func NewOrigin(program, attempt string, software uint64, sequence uint32, retentionMS uint64) *ledgerpb.Record {
	return &ledgerpb.Record{Fact: &ledgerpb.Record_Origin{Origin: &ledgerpb.Origin{
		Program: program, Attempt: attempt, Software: software, Sequence: sequence, RetentionMs: retentionMS,
	}}}
}

// NewTurn returns the record of a conversation turn.
func NewTurn(turn *ledgerpb.Turn) *ledgerpb.Record {
	return &ledgerpb.Record{Fact: &ledgerpb.Record_Turn{Turn: turn}}
}
