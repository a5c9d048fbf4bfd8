package ledger

import (
	"errors"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// errFrameShape means that the columns of an index frame have different lengths or refer
// to names that the frame lacks.
var errFrameShape = errors.New("index frame is malformed")

// Indexed is a stored record as an index describes it.
type Indexed struct {
	Summary Summary
	// Length is the size of the encoded record in bytes.
	Length uint32
}

// EncodeFrame returns the index frame of consecutive records.
func EncodeFrame(records []Indexed) *ledgerpb.IndexFrame {
	frame := &ledgerpb.IndexFrame{Names: []string{""}}
	positions := map[string]uint32{"": 0}
	position := func(name string) uint32 {
		at, known := positions[name]
		if !known {
			at = uint32(len(frame.Names))
			positions[name] = at
			frame.Names = append(frame.Names, name)
		}
		return at
	}
	for _, r := range records {
		s := r.Summary
		frame.Lengths = append(frame.Lengths, r.Length)
		frame.Keys = append(frame.Keys, uint64(s.Key))
		frame.Kinds = append(frame.Kinds, uint32(s.Kind))
		frame.Programs = append(frame.Programs, position(s.Program))
		frame.Attempts = append(frame.Attempts, s.Attempt)
		frame.Tokens = append(frame.Tokens, s.Tokens)
		frame.RetentionsMs = append(frame.RetentionsMs, s.RetentionMS)
		frame.Targets = append(frame.Targets, position(s.Target))
		frame.Turns = append(frame.Turns, position(s.Turn))
		frame.PreviousTurns = append(frame.PreviousTurns, position(s.Previous))
		frame.Softwares = append(frame.Softwares, s.Software)
		frame.Sequences = append(frame.Sequences, s.Sequence)
	}
	return frame
}

// DecodeFrame passes the records of an index frame to visit, in order. It returns an
// error, and visits none, if the frame is malformed.
func DecodeFrame(frame *ledgerpb.IndexFrame, visit func(Indexed)) error {
	addMissingColumns(frame)
	if !hasEqualColumns(frame) {
		return errFrameShape
	}
	names := frame.GetNames()
	for i := range frame.GetKeys() {
		visit(Indexed{Length: frame.GetLengths()[i], Summary: Summary{
			Key: Key(frame.GetKeys()[i]), Kind: Kind(frame.GetKinds()[i]), Program: names[frame.GetPrograms()[i]],
			Attempt: frame.GetAttempts()[i], Tokens: frame.GetTokens()[i], RetentionMS: frame.GetRetentionsMs()[i],
			Target: names[frame.GetTargets()[i]], Turn: names[frame.GetTurns()[i]], Previous: names[frame.GetPreviousTurns()[i]],
			Software: frame.GetSoftwares()[i], Sequence: frame.GetSequences()[i],
		}})
	}
	return nil
}

// addMissingColumns adds the columns that frames of earlier versions lack.
func addMissingColumns(frame *ledgerpb.IndexFrame) {
	n := len(frame.GetKeys())
	if len(frame.GetSoftwares()) == 0 {
		frame.Softwares = make([]uint64, n)
	}
	if len(frame.GetSequences()) == 0 {
		frame.Sequences = make([]uint32, n)
	}
}

// hasEqualColumns reports whether each column has a value for each record and all
// positions are within the names.
func hasEqualColumns(frame *ledgerpb.IndexFrame) bool {
	n := len(frame.GetKeys())
	for _, length := range []int{
		len(frame.GetLengths()), len(frame.GetKinds()), len(frame.GetPrograms()), len(frame.GetAttempts()), len(frame.GetTokens()),
		len(frame.GetRetentionsMs()), len(frame.GetTargets()), len(frame.GetTurns()), len(frame.GetPreviousTurns()),
		len(frame.GetSoftwares()), len(frame.GetSequences()),
	} {
		if length != n {
			return false
		}
	}
	names := uint32(len(frame.GetNames()))
	for _, column := range [][]uint32{frame.GetPrograms(), frame.GetTargets(), frame.GetTurns(), frame.GetPreviousTurns()} {
		for _, position := range column {
			if position >= names {
				return false
			}
		}
	}
	return true
}
