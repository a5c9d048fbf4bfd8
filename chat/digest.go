package chat

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// bytesPerToken is the usual length of a token in text.
	bytesPerToken = 4
	// messageTokens is what a message costs beside its text.
	messageTokens = 4
)

// EstimateTokens estimates the length of a text in tokens, rounded up.
func EstimateTokens(text string) uint32 {
	return uint32((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// ExtendDigest returns the digest of a conversation that was extended by a message.
// The digest depends on everything before, so that two conversations share a
// digest only if they are the same up to there.
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
	n := messageTokens + EstimateTokens(m.Text())
	for _, call := range m.ToolCalls {
		n += EstimateTokens(call.Function.Name) + EstimateTokens(call.Function.Arguments)
	}
	return n
}

// Blocks returns the blocks of a conversation, one a message.
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

// writeText writes a text after its length, so that two fields cannot run into
// each other.
func writeText(h *xxhash.Digest, s string) {
	writeUint(h, uint64(len(s)))
	h.WriteString(s)
}
