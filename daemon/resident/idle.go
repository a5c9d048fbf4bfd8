package resident

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// idleConns tracks callers' idle connections and closes them. http.Server's own idle
// timeout is not used because the configured timeout can change while the server runs.
// Invariant: a request that was read from a connection closed here is not forwarded.
type idleConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
	// closedIdle holds connections that were closed while idle. A request may have been
	// read from one at the same moment.
	closedIdle map[net.Conn]bool
}

func newIdleConns() *idleConns {
	return &idleConns{idleSince: make(map[net.Conn]time.Time), closedIdle: make(map[net.Conn]bool)}
}

// addToContext makes the connection of a request available in its context.
func (i *idleConns) addToContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// trackState records the state of a connection; it is the server's ConnState callback.
func (i *idleConns) trackState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		i.idleSince[c] = time.Now()
	case http.StateActive:
		delete(i.idleSince, c)
	case http.StateClosed, http.StateHijacked:
		delete(i.idleSince, c)
		delete(i.closedIdle, c)
	}
}

// closeIdleBefore closes the connections that have been idle since before cutoff, and
// returns how many it has closed.
func (i *idleConns) closeIdleBefore(cutoff time.Time) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for c, since := range i.idleSince {
		if since.Before(cutoff) {
			delete(i.idleSince, c)
			i.closedIdle[c] = true
			// The server detects the close and drops the connection.
			_ = c.Close()
			n++
		}
	}
	return n
}

// rejectClosed aborts requests from connections that were closed as idle while the request
// was being read. Nothing was forwarded, so the caller may safely send it again.
func (i *idleConns) rejectClosed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(net.Conn)
		i.mu.Lock()
		closed := i.closedIdle[c]
		i.mu.Unlock()
		if closed {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
