package main_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/kit"
)

// unreadAnswers is the number of answers of largeAnswerBytes that are left unread.
const unreadAnswers = 100

// Callers that do not read their answers make the process hold them, for as long as they say that
// they wait.
func TestAnswersThatAreNotRead(t *testing.T) {
	s := newSystem(t, smallLimits)
	used := map[*machine]*usage{s.entry: watch(t, s.entry)}
	for range unreadAnswers {
		conn, err := net.DialTimeout("tcp", s.entry.Front, hangTimeout)
		require.NoError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Rhubarbsaddle-Request-Id: %s\r\nX-Rhubarbsaddle-Deadline-Ms: 3600000\r\nContent-Length: 1\r\n\r\nx", largePath, host, s.newID())
		require.NoError(t, err)
	}
	for range 5 {
		assert.NoError(t, s.ordinary("beside the crowd"))
		assert.NoError(t, s.ordinaryTurn("beside the crowd"))
	}
	// A large answer is served once the unread ones have made room.
	assert.NoError(t, s.retryUntil(hangTimeout, func() kit.Answer {
		return s.Do(s.entry.Front, &kit.Request{Method: http.MethodPost, Host: host, Path: largePath, ID: s.newID(), Body: "x", Deadline: hangTimeout})
	}))
	s.requireWithin(t, used)
}

// endlessAnswers are answers that do not end, by the path that is asked for: the bytes that follow
// the status line and the request's id. The target then leaves the connection open.
var endlessAnswers = map[string]string{
	"/puxa403/header":  "X-Filler: " + strings.Repeat("x", 60<<10),
	"/puxa403/headers": strings.Repeat("X-A: b\r\n", 7<<10),
	"/puxa403/body":    "\r\n" + strings.Repeat("x", 2*mib-1),
	"/pufi791/event":   "\r\nid: 1\ndata: said\n\ndata: " + strings.Repeat("x", mib-1000),
	"/pufi791/lines":   "\r\nid: 1\ndata: said\n\n" + strings.Repeat("data: x\n", mib/8-1000),
	"/pufi791/first":   "\r\ndata: " + strings.Repeat("x", mib-1000),
}

// writeEndless answers with one of endlessAnswers, and reports whether there is one.
func (s *system) writeEndless(w http.ResponseWriter, r *http.Request) bool {
	text, isEndless := endlessAnswers[r.URL.Path]
	if !isEndless {
		return false
	}
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer nc.Close()
	_, err = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Rhubarbsaddle-Request-Id: %s\r\nX-Rhubarbsaddle-Response-Signature: s\r\n%s", r.Header.Get("X-Rhubarbsaddle-Request-Id"), text)
	if err == nil {
		<-s.release
	}
	return true
}

// endlessLimits leave room for more requests at once than the memory has for endless answers.
var endlessLimits = limits{memoryMB: 96, descriptors: 4000, bodyBytes: mib}

// Faulty targets sent a head, a body or an event that did not end. The entry that had called them
// kept it all and ran out of memory, and the requests of other callers ended with it.
func TestAnswersWithoutEnd(t *testing.T) {
	for path := range endlessAnswers {
		t.Run(path, func(t *testing.T) {
			s := newSystem(t, endlessLimits)
			used := map[*machine]*usage{s.entry: watch(t, s.entry)}
			k := newCrowd(t, s, 6*crowdSize, func(c *client) error {
				return c.write(c.head(path, "Content-Length: 1"), "x")
			})
			k.requireTrueRefusals(t)
			k.close()
			assert.NoError(t, s.retryUntil(hangTimeout, func() kit.Answer {
				return s.Do(s.entry.Front, &kit.Request{Method: http.MethodPost, Host: host, Path: plainPath, ID: s.newID(), Body: "x", Deadline: ordinaryDeadline})
			}))
			s.requireWithin(t, used)
		})
	}
}
