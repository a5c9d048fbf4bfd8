package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// raw returns a handler that takes over the connection and writes first and then filler until
// the caller closes.
func raw(first, filler string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer nc.Close()
		_, err = io.WriteString(nc, strings.ReplaceAll(first, "ID", r.Header.Get(platformtest.RequestID)))
		for chunk := strings.Repeat(filler, 1+4096/len(filler)); err == nil; {
			_, err = io.WriteString(nc, chunk)
		}
	}
}

const okHead = "HTTP/1.1 200 OK\r\n" + platformtest.RequestID + ": ID\r\n" + platformtest.Signature + ": s\r\n"

// Bytes that are no answer came without end until the caller closed, in a head or in a body.
// An entry read them into its memory until the request's deadline.
func TestAnswersWithoutEnd(t *testing.T) {
	chunk := func(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
	for name, c := range map[string]struct {
		path          string
		first, filler string
		good          http.HandlerFunc
	}{
		"no line":                {idempotentPath, "", "x", nil},
		"status line":            {idempotentPath, "HTTP/1.1 200 ", "x", nil},
		"headers":                {idempotentPath, "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", nil},
		"one header":             {idempotentPath, "HTTP/1.1 200 OK\r\nX-A: ", "b", nil},
		"interim responses":      {idempotentPath, "", "HTTP/1.1 103 Early Hints\r\n\r\n", nil},
		"body until close":       {idempotentPath, okHead + "\r\n", "x", nil},
		"chunked body":           {idempotentPath, okHead + "Transfer-Encoding: chunked\r\n\r\n", chunk("xxxx"), nil},
		"chunk extension":        {idempotentPath, okHead + "Transfer-Encoding: chunked\r\n\r\n4;", "x", nil},
		"body of another answer": {idempotentPath, "HTTP/1.1 200 OK\r\n\r\n", "x", nil},
		"body of a refusal":      {nonIdempotentPath, "HTTP/1.1 503 Busy\r\n" + platformtest.RequestID + ": ID\r\n" + platformtest.NotExecuted + ": 1\r\n\r\n", "x", nil},
		"event":                  {resumablePath, okHead + "\r\n", "x", platformtest.StreamEvents(3, 0, 0)},
		"lines of one event":     {resumablePath, okHead + "\r\n", ": x\n", platformtest.StreamEvents(3, 0, 0)},
		"error of a stream":      {resumablePath, strings.Replace(okHead, "200 OK", "500 Bad", 1) + "\r\n", "x", platformtest.StreamEvents(3, 0, 0)},
		"head of a stream":       {resumablePath, "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", platformtest.StreamEvents(3, 0, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			good, want := platformtest.Respond(http.StatusOK, "yes"), "yes"
			if c.good != nil {
				good, want = c.good, events(1, 3)
			}
			bad, other := platformtest.NewTarget("i1", raw(c.first, c.filler)), platformtest.NewTarget("i2", good)
			b := newTestbed(t, bad, other)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for i := range 4 {
				began := time.Now()
				got := b.callWithID(fmt.Sprintf("c%d", i), c.path, "x")
				require.NoError(t, got.err)
				assert.Equal(t, http.StatusOK, got.status)
				assert.Equal(t, want, got.body, "the other target's answer")
				assert.Less(t, time.Since(began), 2*time.Second)
			}
			runtime.ReadMemStats(&after)
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(100<<20))
			require.NotEmpty(t, bad.Requests())
		})
	}
}
