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

// idleConns follows callers' idle connections and closes them, since the
// operators' idle timeout changes with the configuration. Invariant: a request
// that was read from a connection closed here is not passed on.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
	// closed holds connections that were closed while idle. A request may have
	// been read from one at the same moment.
	closed map[net.Conn]bool
}

func newIdleConns() *idleConns {
	return &idleConns{since: make(map[net.Conn]time.Time), closed: make(map[net.Conn]bool)}
}

// context gives requests their connection.
func (i *idleConns) context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// follow takes the state of a connection from the server.
func (i *idleConns) follow(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		i.since[c] = time.Now()
	case http.StateActive:
		delete(i.since, c)
	case http.StateClosed, http.StateHijacked:
		delete(i.since, c)
		delete(i.closed, c)
	}
}

// closeOlder closes the connections that have been idle since before a moment
// and returns how many there were.
func (i *idleConns) closeOlder(limit time.Time) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for c, since := range i.since {
		if since.Before(limit) {
			delete(i.since, c)
			i.closed[c] = true
			// The server sees the close and drops the connection.
			_ = c.Close()
			n++
		}
	}
	return n
}

// guard drops requests from connections that were closed while they were read, so
// that the caller may send them again.
func (i *idleConns) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(net.Conn)
		i.mu.Lock()
		closed := i.closed[c]
		i.mu.Unlock()
		if closed {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
