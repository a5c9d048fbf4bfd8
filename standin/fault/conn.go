package fault

import (
	"context"
	"net/http"
)

// makeUnresponsive stops all further responses on the connection, which stays
// open.
func (c *connState) makeUnresponsive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive = true
}

func (c *connState) isUnresponsive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unresponsive
}

// waitIfUnresponsive keeps an unresponsive connection open until the peer closes
// it.
func (c *connState) waitIfUnresponsive(ctx context.Context) {
	if c.isUnresponsive() {
		<-ctx.Done()
	}
}

// connWriter discards everything written to an unresponsive connection.
type connWriter struct {
	http.ResponseWriter
	conn *connState
}

// Write writes to the connection unless it is unresponsive.
func (w *connWriter) Write(b []byte) (int, error) {
	if w.conn.isUnresponsive() {
		return len(b), nil
	}
	return w.ResponseWriter.Write(b)
}

// Flush sends buffered data unless the connection is unresponsive.
func (w *connWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok && !w.conn.isUnresponsive() {
		f.Flush()
	}
}

// discardWriter discards the response of a request that is executed.
type discardWriter struct{ header http.Header }

// Header returns a header that is never sent.
func (w discardWriter) Header() http.Header { return w.header }

// Write discards the bytes.
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader discards the status.
func (discardWriter) WriteHeader(int) {}

// Flush does nothing.
func (discardWriter) Flush() {}
