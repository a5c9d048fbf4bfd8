package slopes

import (
	"fmt"
	"runtime"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/history"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/engine"
)

// historySizes are the measured lengths of a conversation in tokens.
var historySizes = []int{10_000, 40_000, 160_000}

const (
	// messageTokens is the length of one message.
	messageTokens = 400
	// conversations is the number of conversations stored in a measurement.
	conversations = 8
)

// conversationOf returns a conversation made of the stand-in engine's text, as a
// JSON array, with the digest of its last block and its number of blocks.
func conversationOf(seed uint64, tokens int) (messages []byte, digest uint64, blocks uint32, err error) {
	messages = []byte("[")
	for done := 0; done < tokens; done += messageTokens {
		m := chat.Message{Role: "assistant"}
		m.Content = fmt.Appendf(nil, "%q", engine.AnswerText(seed+digest, messageTokens))
		encoded, err := m.Encode()
		if err != nil {
			return nil, 0, 0, err
		}
		if blocks > 0 {
			messages = append(messages, ',')
		}
		messages = append(messages, encoded...)
		digest = chat.ExtendDigest(digest, &m)
		blocks++
	}
	return append(messages, ']'), digest, blocks, nil
}

// costOfHistory measures the memory and processor time that a sidecar needs for
// stored conversations.
func costOfHistory(r *Report) error {
	method := fmt.Sprintf("%d conversations of the stand-in engine's text in messages of %d tokens, put into a store in memory",
		conversations, messageTokens)
	memory := Slope{Name: "history_token_bytes", Unit: "bytes", Per: "tokens of one copy", Method: method + "; live heap"}
	cpu := Slope{Name: "history_token_nanoseconds", Unit: "ns", Per: "tokens of one put", Method: method + "; check of the digest chain and compression"}
	for _, n := range historySizes {
		bytes, spent, err := storeConversations(r.Seed, n)
		if err != nil {
			return err
		}
		memory.add(float64(n), bytes/conversations)
		cpu.add(float64(n), float64(spent.Nanoseconds())/conversations)
	}
	r.Slopes = append(r.Slopes, memory, cpu)
	return nil
}

// storeConversations returns the heap bytes and the time that storing
// conversations of n tokens takes.
func storeConversations(seed uint64, n int) (bytes float64, spent time.Duration, err error) {
	s, err := history.Open(history.Options{Bytes: 1 << 30})
	if err != nil {
		return 0, 0, err
	}
	// The first put allocates the compressor's buffers, which all conversations
	// share.
	if _, err := storeConversation(s, seed, "warm", n); err != nil {
		return 0, 0, err
	}
	before := heap()
	for i := range conversations {
		elapsed, err := storeConversation(s, seed+uint64(i), core.ProgramID(fmt.Sprint(i)), n)
		if err != nil {
			return 0, 0, err
		}
		spent += elapsed
	}
	bytes = heap() - before
	runtime.KeepAlive(s)
	return bytes, spent, nil
}

func storeConversation(s *history.Store, seed uint64, program core.ProgramID, n int) (time.Duration, error) {
	messages, digest, blocks, err := conversationOf(seed, n)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	e, err := s.Compress(history.Meta{Program: program, Digest: digest, Blocks: blocks}, messages)
	if err != nil {
		return 0, err
	}
	err = s.Put(e)
	return time.Since(began), err
}
