package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// rawAnswer returns a handler that writes the text with the request's id in place of ID and ends the
// connection.
func rawAnswer(text string, isReset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(platformtest.RequestID)
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer nc.Close()
		_, _ = io.WriteString(nc, strings.ReplaceAll(text, "ID", id))
		if tcp, ok := nc.(*net.TCPConn); ok && isReset {
			_ = tcp.SetLinger(0)
		}
	}
}

// answerText is an answer as a target sends it.
func answerText(status, contentType, framing, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: ID\r\n%s: signed\r\nContent-Type: %s\r\n%s\r\n%s", status, platformtest.RequestID, platformtest.Signature, contentType, framing, body)
}

func withLength(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

// Reported by other operators: callers got a 200 with an empty or short body, framed as whole, when a
// target had ended in the middle of the head of its answer.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	const body = "id: 1\ndata: event1\n\n"
	for _, framing := range []string{withLength(body), "Transfer-Encoding: chunked\r\n", "", "Connection: close\r\n"} {
		for path, contentType := range map[string]string{idempotentPath: plainText, nonIdempotentPath: plainText, resumablePath: eventStream, storedTurnsPath: eventStream} {
			whole := answerText("200 OK", contentType, framing, "")
			// Without the last line feed the head is not complete.
			for end := 0; end < len(whole); end += 3 {
				target := platformtest.NewTarget("i1", rawAnswer(whole[:end], end%2 == 0))
				got := newTestbed(t, target).call(path, "x")
				require.NoError(t, got.err, "%q", whole[:end])
				assert.Equal(t, http.StatusBadGateway, got.status, "%q", whole[:end])
				target.Close()
			}
		}
	}
}

// A faulty target spoiled the name of the signature's header, and its answer passed as a success
// (review/14: MIXED).
func TestSuccessWithoutSignatureIsNoAnswer(t *testing.T) {
	for path, contentType := range map[string]string{nonIdempotentPath: plainText, storedTurnsPath: eventStream} {
		text := answerText("200 OK", contentType, withLength("id: 1\n\n"), "id: 1\n\n")
		spoiled := strings.Replace(text, platformtest.Signature, strings.Repeat("x", len(platformtest.Signature)), 1)
		got := newTestbed(t, platformtest.NewTarget("i1", rawAnswer(spoiled, false))).call(path, "x")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusBadGateway, got.status, path)
	}
}

// The same with a target that ends while the request is being sent to it.
func TestAnswerCutInItsHeadBesideUploadIsNoAnswer(t *testing.T) {
	whole := answerText("200 OK", plainText, withLength("whole"), "")
	for end := 0; end < len(whole); end += 15 {
		cut := platformtest.NewUnreadTarget("i1", rawAnswer(whole[:end], false))
		got := newTestbed(t, cut).call(nonIdempotentPath, strings.Repeat("x", 1<<20))
		require.NoError(t, got.err, "%q", whole[:end])
		assert.Equal(t, http.StatusBadGateway, got.status, "%q", whole[:end])
	}
}

// Reported by other operators: when a stream had broken off, the error of the target that was to
// continue it became part of the stream, or the stream ended as if it were complete.
func TestErrorNeverBecomesPartOfABrokenStream(t *testing.T) {
	const text = "engine failed\n\nsee its log\n\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	events45 := events(4, 5)
	for name, continuation := range map[string]string{
		"500":                       answerText("500 Internal Server Error", plainText, withLength(text), text),
		"404":                       answerText("404 Not Found", plainText, withLength(text), text),
		"409 as an event stream":    answerText("409 Conflict", eventStream, "Transfer-Encoding: chunked\r\n", chunked),
		"cut 500":                   answerText("500 Internal Server Error", eventStream, "Transfer-Encoding: chunked\r\n", chunked[:9]),
		"503 without a length":      answerText("503 Service Unavailable", plainText, "", text),
		"half a head":               "HTTP/1.1 200 OK\r\n" + platformtest.RequestID + ": ID\r\nContent-",
		"no head":                   text,
		"200 as text":               answerText("200 OK", plainText, withLength(text), text),
		"200 as text, unframed":     answerText("200 OK", plainText, "", text),
		"200 as text, chunked":      answerText("200 OK", "text/html; charset=utf-8", "Transfer-Encoding: chunked\r\n", chunked),
		"200 as text, empty":        answerText("200 OK", plainText, withLength(""), ""),
		"200 without a type":        strings.Replace(answerText("200 OK", plainText, withLength(""), ""), "Content-Type: text/plain\r\n", "", 1),
		"text in the event stream":  answerText("200 OK", eventStream, withLength(events45[:4]), events45[:4]),
		"events from the beginning": answerText("200 OK", eventStream, withLength(events(1, 5)), events(1, 5)),
	} {
		t.Run(name, func(t *testing.T) {
			for _, broken := range []http.HandlerFunc{
				platformtest.StreamEvents(5, 3, 0),
				rawAnswer(answerText("200 OK", eventStream, "", events(1, 3)+"id: 4\nda"), false),
			} {
				handler := func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get(platformtest.LastEventID) != "" {
						rawAnswer(continuation, false)(w, r)
						return
					}
					broken(w, r)
				}
				got := newTestbed(t, platformtest.NewTarget("i1", handler), platformtest.NewTarget("i2", handler)).call(resumablePath, "x")
				require.Error(t, got.err, "the stream must not look complete")
				assert.Equal(t, events(1, 3), got.body)
			}
		})
	}
}
