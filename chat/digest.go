package chat

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// bytesPerToken is the typical length of a token of text, in bytes.
	bytesPerToken = 4
	// messageOverheadTokens is the cost of a message in addition to its text.
	messageOverheadTokens = 4
)

// EstimateTokens estimates the length of a text in tokens, rounding up.
func EstimateTokens(text string) uint32 {
	return uint32((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// ExtendDigest returns the digest of a conversation that ends with message m;
// previous is the digest of the messages before m, or zero if there are none.
// The digest depends on all messages, so that two conversations have the same
// digest only if they are equal, up to hash collisions.
func ExtendDigest(previous uint64, m *Message) uint64 {
	h := xxhash.New()
	writeUint(h, previous)
	writeText(h, m.Role)
	writeText(h, m.Text())
	writeText(h, m.ToolCallID)
	for _, call := range m.ToolCalls {
		writeText(h, call.ID)
		writeText(h, call.Function.Name)
		writeText(h, call.Function.Arguments)
	}
	return h.Sum64()
}

// EstimateMessageTokens estimates the length of a message in tokens.
func EstimateMessageTokens(m *Message) uint32 {
	n := messageOverheadTokens + EstimateTokens(m.Text())
	for _, call := range m.ToolCalls {
		n += EstimateTokens(call.Function.Name) + EstimateTokens(call.Function.Arguments)
	}
	return n
}

// Blocks returns the blocks of a conversation, one per message.
func Blocks(messages []Message) []core.Block {
	blocks := make([]core.Block, 0, len(messages))
	var digest uint64
	for i := range messages {
		digest = ExtendDigest(digest, &messages[i])
		blocks = append(blocks, core.Block{Digest: digest, Tokens: EstimateMessageTokens(&messages[i])})
	}
	return blocks
}

func writeUint(h *xxhash.Digest, v uint64) {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], v)
	h.Write(buf[:])
}

// writeText writes a text preceded by its length, so that the boundaries between
// fields are part of the digest.
func writeText(h *xxhash.Digest, s string) {
	writeUint(h, uint64(len(s)))
	h.WriteString(s)
}
