package history

import (
	"encoding/json"
	"errors"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Ref identifies the first Blocks messages of a program's conversation.
type Ref struct {
	Program core.ProgramID
	Account core.Account
	Slot    core.SlotID
	// Epoch is the epoch of the owner that issued the reference.
	Epoch core.Epoch
	// Digest is the digest chain's value after the first Blocks messages.
	Digest uint64
	Blocks uint32
}

// NewRef converts a reference from the form that messages between processes use.
// It omits the list of copies.
func NewRef(r core.HistoryRef) Ref {
	return Ref{
		Program: r.Program, Account: r.Account, Slot: r.Slot, Epoch: r.Epoch, Digest: r.Digest, Blocks: r.Blocks,
	}
}

// Meta describes a stored conversation.
type Meta struct {
	Program core.ProgramID `json:"program"`
	Account core.Account   `json:"account"`
	// Attempt is the attempt that produced the last answer. The attempts of a slot
	// are ordered, so they show which of two conversations is newer.
	Attempt core.AttemptID `json:"attempt"`
	Digest  uint64         `json:"digest"`
	Blocks  uint32         `json:"blocks"`
	// Size is the length of the messages before compression, in bytes.
	Size int `json:"size"`
}

// StoredConversation is a conversation in compressed form, with its Meta.
type StoredConversation struct {
	Meta
	// Data holds the messages as a JSON array, compressed.
	Data []byte
}

// isOlder reports whether attempt a was issued before attempt b of the same
// slot.
func isOlder(a, b core.AttemptID) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch.Less(b.Epoch)
	}
	return a.N < b.N
}

// Join appends messages to a conversation; both are JSON arrays.
func Join(conversation, added []byte) ([]byte, error) {
	first, err := splitMessages(conversation)
	if err != nil {
		return nil, err
	}
	second, err := splitMessages(added)
	if err != nil {
		return nil, err
	}
	return json.Marshal(append(first, second...))
}

// PrependConversation returns a chat request with a stored conversation inserted
// before its messages.
func PrependConversation(request, stored []byte) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(request, &fields); err != nil {
		return nil, &CorruptError{Step: "read request", Err: err}
	}
	messages, err := Join(stored, fields["messages"])
	if err != nil {
		return nil, err
	}
	fields["messages"] = messages
	return json.Marshal(fields)
}

// AppendAnswer returns the messages of a request followed by the answer's
// message, as a JSON array.
func AppendAnswer(request []byte, answer *chat.Message) ([]byte, error) {
	var r struct {
		Messages json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(request, &r); err != nil {
		return nil, &CorruptError{Step: "read request", Err: err}
	}
	message, err := answer.Encode()
	if err != nil {
		return nil, &CorruptError{Step: "encode answer", Err: err}
	}
	added, err := json.Marshal([]json.RawMessage{message})
	if err != nil {
		return nil, &CorruptError{Step: "encode answer", Err: err}
	}
	return Join(r.Messages, added)
}

// Verify returns an error unless the first blocks messages have the given
// digest.
func Verify(messages []byte, digest uint64, blocks uint32) error {
	_, err := verifiedPrefix(messages, digest, blocks)
	return err
}

// errDigestMismatch is the cause when the digest chain of a conversation does not
// contain the requested digest at the requested length.
var errDigestMismatch = errors.New("the digest chain does not match")

// verifiedPrefix checks that the first blocks messages of a conversation have the
// given digest, and returns them. A stored conversation can thus be used for
// references to all its earlier states.
func verifiedPrefix(messages []byte, digest uint64, blocks uint32) ([]byte, error) {
	raw, err := splitMessages(messages)
	if err != nil {
		return nil, err
	}
	n := int(blocks)
	if n == 0 || n > len(raw) {
		return nil, &CorruptError{Step: "check digest", Err: errDigestMismatch}
	}
	parsed := make([]chat.Message, n)
	for i := range parsed {
		if err := json.Unmarshal(raw[i], &parsed[i]); err != nil {
			return nil, &CorruptError{Step: "read message", Err: err}
		}
	}
	if chat.Blocks(parsed)[n-1].Digest != digest {
		return nil, &CorruptError{Step: "check digest", Err: errDigestMismatch}
	}
	if n == len(raw) {
		return messages, nil
	}
	return json.Marshal(raw[:n])
}

func splitMessages(messages []byte) ([]json.RawMessage, error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(messages, &raw); err != nil {
		return nil, &CorruptError{Step: "read messages", Err: err}
	}
	return raw, nil
}
