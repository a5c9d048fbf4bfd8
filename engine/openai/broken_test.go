package openai_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine/openai"
)

// runAgainst runs a streamed attempt at a target that answers the attempt with first and each request
// to resume it with rest, and then resets the connection.
func runAgainst(t *testing.T, first, rest string) (*recorder, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer nc.Close()
		text := first
		if r.Method == http.MethodGet {
			text = rest
		}
		_, _ = io.WriteString(nc, text)
		if tcp, ok := nc.(*net.TCPConn); ok {
			// The caller reads what was sent before it sees the reset.
			time.Sleep(10 * time.Millisecond)
			_ = tcp.SetLinger(0)
		}
	}))
	t.Cleanup(server.Close)
	target := openai.New(strings.TrimPrefix(server.URL, "http://"), openai.Options{Backoff: time.Millisecond})
	answer := &recorder{}
	_, err := target.Run(t.Context(), newRequest(t, 1, "hello", true, 8), answer)
	return answer, err
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Reported by other operators: the error of the engine that was to continue a broken stream became
// part of it, or the stream ended as if it were complete.
func TestErrorNeverBecomesPartOfABrokenStream(t *testing.T) {
	const event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n"
	const text = "engine failed\n\nsee its log\n\n"
	for name, rest := range map[string]string{
		"500":             fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nContent-Length: %d\r\n\r\n%s", len(text), text),
		"404":             fmt.Sprintf("HTTP/1.1 404 Not Found\r\nContent-Length: %d\r\n\r\n%s", len(text), text),
		"409 in chunks":   strings.Replace(streamHead, "200 OK", "409 Conflict", 1) + chunk(text) + "0\r\n\r\n",
		"half a head":     streamHead[:40],
		"no head":         text,
		"200 as text":     fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(text), text),
		"200 and nothing": streamHead + "0\r\n\r\n",
	} {
		answer, err := runAgainst(t, streamHead+chunk(event+"data: {\"ch"), rest)
		require.Error(t, err, name)
		assert.Equal(t, event, string(answer.body), name)
	}
}

// Reported by other operators: callers got a 200 with an empty or short body when an engine had ended
// in the middle of the head of its answer.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	for end := 0; end < len(streamHead); end += 7 {
		answer, err := runAgainst(t, streamHead[:end], streamHead[:end])
		var failed *engine.Error
		require.True(t, errors.As(err, &failed), "%q: %v", streamHead[:end], err)
		assert.True(t, failed.Sent, "%q", streamHead[:end])
		assert.Zero(t, answer.head, "%q", streamHead[:end])
	}
}
