package fault

import (
	"context"
	"net/http"
)

// silence makes the connection go silent.
func (c *connState) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// isSilent reports whether the connection has gone silent.
func (c *connState) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// waitIfSilent keeps a silent connection open until the peer closes it.
func (c *connState) waitIfSilent(ctx context.Context) {
	if c.isSilent() {
		<-ctx.Done()
	}
}

// connWriter drops everything written to a silent connection.
type connWriter struct {
	http.ResponseWriter
	conn *connState
}

// Write writes to the connection unless it is silent.
func (w *connWriter) Write(b []byte) (int, error) {
	if w.conn.isSilent() {
		return len(b), nil
	}
	return w.ResponseWriter.Write(b)
}

// Flush sends what is buffered unless the connection is silent.
func (w *connWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok && !w.conn.isSilent() {
		f.Flush()
	}
}

// discardWriter executes a request whose answer is lost.
type discardWriter struct{ header http.Header }

// Header returns a header that is never sent.
func (w discardWriter) Header() http.Header { return w.header }

// Write drops the bytes.
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader drops the status.
func (discardWriter) WriteHeader(int) {}

// Flush does nothing.
func (discardWriter) Flush() {}
