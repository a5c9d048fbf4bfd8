package history

import (
	"encoding/json"
	"errors"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Ref names the conversation of a program up to one block.
type Ref struct {
	Program core.ProgramID
	Account core.Account
	Slot    core.SlotID
	// Epoch is the home's that gave the reference.
	Epoch  core.Epoch
	Digest uint64
	Blocks uint32
}

// NewRef returns the reference that a home gave, without the copies.
func NewRef(r core.HistoryRef) Ref {
	return Ref{
		Program: r.Program, Account: r.Account, Slot: r.Slot, Epoch: r.Epoch, Digest: r.Digest, Blocks: r.Blocks,
	}
}

// Meta describes a kept body.
type Meta struct {
	Program core.ProgramID `json:"program"`
	Account core.Account   `json:"account"`
	// Attempt is the one that gave the last answer. Attempts of a slot are
	// ordered, so that it tells a newer body from an older one.
	Attempt core.AttemptID `json:"attempt"`
	Digest  uint64         `json:"digest"`
	Blocks  uint32         `json:"blocks"`
	// Size is the length of the messages before compression, in bytes.
	Size int `json:"size"`
}

// Entry is a body in its compressed form.
type Entry struct {
	Meta
	// Data holds the messages as a JSON array, compressed.
	Data []byte
}

// older reports whether an attempt was given out before another of its slot.
func older(a, b core.AttemptID) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch.Less(b.Epoch)
	}
	return a.N < b.N
}

// Join appends messages to a conversation; both are JSON arrays.
func Join(conversation, added []byte) ([]byte, error) {
	first, err := split(conversation)
	if err != nil {
		return nil, err
	}
	second, err := split(added)
	if err != nil {
		return nil, err
	}
	return json.Marshal(append(first, second...))
}

// PrependConversation returns a chat request whose messages follow a kept conversation.
func PrependConversation(request, kept []byte) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(request, &fields); err != nil {
		return nil, &CorruptError{Step: "read request", Err: err}
	}
	messages, err := Join(kept, fields["messages"])
	if err != nil {
		return nil, err
	}
	fields["messages"] = messages
	return json.Marshal(fields)
}

// AppendAnswer returns the messages of a request with the answer's message.
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

// Verify reports whether messages are the conversation that a digest names.
func Verify(messages []byte, digest uint64, blocks uint32) error {
	_, err := prefix(messages, digest, blocks)
	return err
}

// errMismatch is the cause when the digest chain of a body does not reach the
// digest that was asked for.
var errMismatch = errors.New("the digest chain differs")

// prefix returns the first messages of a conversation, as far as a digest
// reaches. A body holds every earlier state of its conversation.
func prefix(messages []byte, digest uint64, blocks uint32) ([]byte, error) {
	raw, err := split(messages)
	if err != nil {
		return nil, err
	}
	n := int(blocks)
	if n == 0 || n > len(raw) {
		return nil, &CorruptError{Step: "check digest", Err: errMismatch}
	}
	parsed := make([]chat.Message, n)
	for i := range parsed {
		if err := json.Unmarshal(raw[i], &parsed[i]); err != nil {
			return nil, &CorruptError{Step: "read message", Err: err}
		}
	}
	if chat.Blocks(parsed)[n-1].Digest != digest {
		return nil, &CorruptError{Step: "check digest", Err: errMismatch}
	}
	if n == len(raw) {
		return messages, nil
	}
	return json.Marshal(raw[:n])
}

func split(messages []byte) ([]json.RawMessage, error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(messages, &raw); err != nil {
		return nil, &CorruptError{Step: "read messages", Err: err}
	}
	return raw, nil
}
