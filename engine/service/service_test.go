package service_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine/service"
)

// buffer is a sink that keeps the body.
type buffer struct{ bytes.Buffer }

func (b *buffer) Head(engine.Head) error { return nil }

func (b *buffer) Data(body []byte, _ uint32) error {
	_, err := b.Write(body)
	return err
}

// A part of an answer without a length passed as the whole after a reset, and a status of no
// answer as one (MIXED).
func TestResponsesThatAreNoAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		head, body string
		isAnswer   bool
	}{
		"status 000":         {head: "000 Odd\r\nContent-Length: 1", body: "x"},
		"status 999":         {head: "999 Odd\r\nContent-Length: 1", body: "x"},
		"unframed and reset": {head: "200 OK\r\nConnection: close", body: strings.Repeat("x", 12<<20)},
		"unframed":           {head: "200 OK\r\nConnection: close", body: "x", isAnswer: true},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			nc, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer nc.Close()
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 %s\r\n\r\nx", c.head)
			if tcp := nc.(*net.TCPConn); c.isAnswer {
				_ = tcp.CloseWrite()
				_, _ = io.Copy(io.Discard, nc)
			} else {
				_ = tcp.CloseWrite()
				_ = tcp.SetLinger(0)
			}
		}))
		target := service.New(strings.TrimPrefix(server.URL, "http://"))
		_, err := target.Run(t.Context(), engine.Request{Call: core.Call{Method: http.MethodPost, Path: "/", Body: []byte(c.body), NonIdempotent: true}}, &buffer{})
		if c.isAnswer {
			require.NoError(t, err, name)
		} else {
			assert.Error(t, err, name)
		}
		server.Close()
	}
}

// headed is a sink that notes whether it got a head.
type headed struct {
	buffer
	hasHead bool
}

func (h *headed) Head(engine.Head) error {
	h.hasHead = true
	return nil
}

// A service may have begun to work before it has read a long request, and an answer that is cut in its
// head is none (review/13: TWICE; reported by other operators: MIXED).
func TestLostAnswersMayHaveRun(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Type: text/plain\r\n\r\n"
	for _, body := range []string{"x", strings.Repeat("x", 16<<20)} {
		for end := 0; end < len(head); end += 9 {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				nc, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(nc, head[:end])
				_ = nc.Close()
			}))
			target, sink := service.New(strings.TrimPrefix(server.URL, "http://")), &headed{}
			_, err := target.Run(t.Context(), engine.Request{Call: core.Call{Method: http.MethodPost, Path: "/", Body: []byte(body), NonIdempotent: true}}, sink)
			var failed *engine.Error
			require.ErrorAs(t, err, &failed)
			assert.True(t, failed.Sent, "%q", head[:end])
			assert.False(t, sink.hasHead, "%q", head[:end])
			server.Close()
		}
	}
}
