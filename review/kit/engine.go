package kit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// Run is a request that an engine has run.
type Run struct {
	ID, Engine, Path, Body, LastEvent string
	At                                time.Time
}

// Engine is a stand-in of an engine or of a server of a plain service.
type Engine struct {
	ID, Addr string

	d       *Deployment
	service string
	server  *http.Server
	crashed chan struct{}
	mu      sync.Mutex
	runs    []Run
}

// AddEngine starts an engine of a service and registers it. The handler is called for requests
// that the engine runs; their signature is set already.
func (d *Deployment) AddEngine(id, service, domain string, slots int, handler func(w http.ResponseWriter, r *http.Request, body string)) (*Engine, error) {
	listener, err := net.Listen("tcp", d.newIP()+":0")
	if err != nil {
		return nil, err
	}
	e := &Engine{ID: id, Addr: listener.Addr().String(), d: d, service: service, crashed: make(chan struct{})}
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, handler) })}
	go func() { _ = e.server.Serve(listener) }()
	d.engines = append(d.engines, e)
	go e.register(domain, slots)
	return e, nil
}

// register writes the engine's entry again and again.
func (e *Engine) register(domain string, slots int) {
	for {
		e.mu.Lock()
		calls := len(e.runs)
		e.mu.Unlock()
		e.d.Store.Put("servers/"+e.ID, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"call_count":%d}`,
			e.service, e.Addr, domain, slots, calls))
		select {
		case <-e.d.stop:
			return
		case <-e.crashed:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, handler func(http.ResponseWriter, *http.Request, string)) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(platformtest.RequestID)
	w.Header().Set(platformtest.RequestID, id)
	if expected := r.Header.Get(platformtest.Expect); expected != "" && expected != e.ID {
		w.Header().Set("X-Rhubarbsaddle-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := Run{ID: id, Engine: e.ID, Path: r.RequestURI, Body: string(body), LastEvent: r.Header.Get(platformtest.LastEventID), At: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	e.d.Record("engine %s runs %s %s %s, last event %q, body of %d bytes: %s", e.ID, id, r.Method, r.RequestURI, run.LastEvent, len(body), brief(string(body)))
	w.Header().Set(platformtest.Signature, "signed."+e.ID+"."+id)
	handler(w, r, string(body))
}

// Crash ends the engine: its connections break off, nothing listens at its address any more and its
// entry in the store expires after three heartbeats.
func (e *Engine) Crash() {
	e.d.Record("engine %s crashes", e.ID)
	e.close()
	time.AfterFunc(3*heartbeat, func() { e.d.Store.Delete("servers/" + e.ID) })
	close(e.crashed)
}

func (e *Engine) close() { _ = e.server.Close() }

// Runs returns the requests that all engines have run.
func (d *Deployment) Runs() []Run {
	var all []Run
	for _, e := range d.engines {
		e.mu.Lock()
		all = append(all, e.runs...)
		e.mu.Unlock()
	}
	return all
}

// brief shortens a text for the record.
func brief(text string) string {
	const limit = 160
	text = strings.ReplaceAll(text, "\n", "|")
	if len(text) <= limit {
		return text
	}
	return text[:limit/2] + " ... " + text[len(text)-limit/2:]
}
