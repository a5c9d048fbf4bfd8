package engine

import (
	"encoding/json"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
)

const (
	// tokenBytes is the length of every generated token.
	tokenBytes = 4
	// defaultMaxTokens limits the output of requests that set no limit.
	defaultMaxTokens = 128
)

// AnswerTokens returns the number of tokens that the engine generates for a
// conversation: between half of maxTokens and maxTokens, at least 1.
func AnswerTokens(digest uint64, maxTokens uint32) uint32 {
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
	}
	half := maxTokens / 2
	return max(half+uint32(digest%uint64(maxTokens-half+1)), 1)
}

// AnswerText returns the text that the engine generates for a conversation. It
// depends only on the digest and the number of tokens, so that a caller can
// compute the expected answer.
func AnswerText(digest uint64, tokens uint32) string {
	return string(appendTokens(nil, digest, 0, tokens))
}

// appendTokens appends the tokens in [from, to) of a conversation's answer.
func appendTokens(b []byte, digest uint64, from, to uint32) []byte {
	for i := from; i < to; i++ {
		x := mix(digest + uint64(i)*0x9e3779b97f4a7c15)
		for range tokenBytes - 1 {
			b = append(b, 'a'+byte(x%26))
			x /= 26
		}
		b = append(b, ' ')
	}
	return b
}

// mix returns a well-mixed function of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// answerMessage returns the message with which a caller adds an answer to the
// conversation.
func answerMessage(text string) *chat.Message {
	content, _ := json.Marshal(text)
	return &chat.Message{Role: "assistant", Content: content}
}
