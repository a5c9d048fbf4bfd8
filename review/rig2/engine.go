package rig2

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Header names.
const (
	HeaderID        = "X-Rhubarbsaddle-Request-Id"
	HeaderSignature = "X-Rhubarbsaddle-Response-Signature"
	HeaderExpect    = "X-Rhubarbsaddle-Expect-Instance"
	HeaderNotRun    = "X-Rhubarbsaddle-Not-Executed"
	HeaderDeadline  = "X-Rhubarbsaddle-Deadline-Ms"
	HeaderPrevious  = "X-Rhubarbsaddle-Previous-Turn"
	HeaderLoad      = "X-Rhubarbsaddle-Instance-Load"
)

// Run is one request that an engine began to work on.
type Run struct {
	Engine, ID, Path, Body, From string
	At                           time.Time
	Status                       int
	Events                       int
}

// Engine is a stand-in of an engine: it answers plain requests with a body made of the request's
// id, and requests of streams with events.
type Engine struct {
	rig                       *Rig
	ID, Service, Zone, Source string
	Version                   string
	Born                      int64
	Slots, Queue              int
	Addr                      string
	// Fault is called for each request that is run, and says what happens to its answer.
	Fault func(r *http.Request) string
	// Work is the time that a plain request takes, Events and Gap those of a stream.
	Work, First, Gap time.Duration
	Events           int

	// Limit is the Server-Limit that the engine names, or empty.
	Limit string

	server   *http.Server
	listener net.Listener
	running  atomic.Int64
	waiting  atomic.Int64
	slots    chan struct{}
	stop     chan struct{}
	leaving  atomic.Bool
	calls    atomic.Int64
}

// LongMark begins the input of turns whose first event takes longFirst.
const (
	LongMark  = "long"
	longFirst = 2 * time.Second
)

var runsMu sync.Mutex

// Runs are all requests that engines began to work on.
func (r *Rig) Runs() []*Run {
	runsMu.Lock()
	defer runsMu.Unlock()
	return append([]*Run(nil), r.Record.runs()...)
}

var allRuns []*Run

func (r *Record) runs() []*Run { return allRuns }

// AddEngine starts an engine and registers it. Addr is empty for a free port.
func (r *Rig) AddEngine(id, service, zone, addr string, slots int) (*Engine, error) {
	return r.AddEngineOf("1", id, service, zone, addr, slots)
}

// AddEngineOf is AddEngine for a version of the engine's software.
func (r *Rig) AddEngineOf(version, id, service, zone, addr string, slots int) (*Engine, error) {
	e := &Engine{rig: r, ID: id, Service: service, Zone: zone, Slots: slots, Queue: 3 * slots, Version: version, Born: time.Now().UnixMilli(),
		Work: 30 * time.Millisecond, First: 40 * time.Millisecond, Gap: 15 * time.Millisecond, Events: 10, slots: make(chan struct{}, slots), stop: make(chan struct{})}
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e.listener, e.Addr = listener, listener.Addr().String()
	e.server = &http.Server{Handler: e, IdleTimeout: 6 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	r.mu.Lock()
	r.engines[id] = e
	r.versions[id] = e.Version
	r.mu.Unlock()
	e.Register("ready")
	go e.beat()
	return e, nil
}

// Register writes the engine's entry.
func (e *Engine) Register(state string) {
	value, _ := json.Marshal(map[string]any{"service": e.Service, "address": e.Addr, "zone": e.Zone, "version": e.Version, "slots": e.Slots, "state": state, "cold_left_ms": 0, "call_count": e.calls.Load(), "born": e.Born, "stage": "unified"})
	e.rig.Store.Put("servers/"+e.ID, value)
}

func (e *Engine) beat() {
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// Drain reports that the engine is draining, and ends it after a time.
func (e *Engine) Drain(after time.Duration) {
	e.leaving.Store(true)
	e.Register("draining")
	time.Sleep(after)
	e.rig.Store.Delete("servers/" + e.ID)
	e.Stop()
}

// Stop ends the engine at once: its connections are closed.
func (e *Engine) Stop() {
	e.rig.mu.Lock()
	delete(e.rig.engines, e.ID)
	e.rig.mu.Unlock()
	select {
	case <-e.stop:
	default:
		close(e.stop)
	}
	_ = e.server.Close()
}

// Expire removes the entry of an engine that has crashed.
func (e *Engine) Expire() { e.rig.Store.Delete("servers/" + e.ID) }

func (e *Engine) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(HeaderNotRun, "1")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "not run\n")
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(HeaderID)
	w.Header().Set(HeaderLoad, fmt.Sprintf("%d,%d,%d", e.running.Load(), e.waiting.Load(), e.Slots))
	w.Header().Set("Keep-Alive", "timeout=6")
	w.Header().Set(HeaderID, id)
	if e.Limit != "" {
		w.Header().Set("Server-Limit", e.Limit)
	}
	if e.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	} else if rand.IntN(50) == 0 {
		w.Header().Set("Connection", "close")
	}
	if req.URL.Path == "/healthz" {
		w.Header().Set("X-Rhubarbsaddle-Instance-Id", e.ID)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if expected := req.Header.Get(HeaderExpect); expected != "" && expected != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Del(HeaderID)
		e.refuse(w, http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(10 * time.Second)
	if ms, err := strconv.Atoi(req.Header.Get(HeaderDeadline)); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if e.waiting.Add(1) > int64(e.Queue) {
		e.waiting.Add(-1)
		e.refuse(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slots <- struct{}{}:
		e.waiting.Add(-1)
	case <-time.After(time.Until(deadline)):
		e.waiting.Add(-1)
		e.refuse(w, http.StatusServiceUnavailable)
		return
	case <-req.Context().Done():
		e.waiting.Add(-1)
		return
	case <-e.stop:
		panic(http.ErrAbortHandler)
	}
	e.running.Add(1)
	defer func() { e.running.Add(-1); <-e.slots }()
	run := &Run{Engine: e.ID, ID: id, Path: req.RequestURI, Body: string(body), From: req.Header.Get("Last-Event-Id"), At: time.Now()}
	runsMu.Lock()
	allRuns = append(allRuns, run)
	runsMu.Unlock()
	fault := ""
	if e.Fault != nil {
		fault = e.Fault(req)
	}
	e.rig.Record.Add("run", "engine", e.ID, "id", id, "path", req.RequestURI, "from", run.From, "fault", fault)
	w.Header().Set(HeaderSignature, Signature(e.ID, id))
	ctx := req.Context()
	if strings.HasPrefix(req.URL.Path, "/haggle/") || strings.HasPrefix(req.URL.Path, "/draft/") {
		e.stream(w, req, run, fault)
		return
	}
	wait(ctx.Done(), e.stop, e.Work)
	switch fault {
	case "lost":
		Abort(w)
	case "fin":
		panic(http.ErrAbortHandler)
	case "mute":
		wait(ctx.Done(), e.stop, 20*time.Second)
		panic(http.ErrAbortHandler)
	case "error":
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed\n")
		return
	case "cut":
		answer := PlainBody(e.ID, id)
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "rubbish", "extra", "late":
		e.raw(w, id, fault)
		return
	}
	run.Status = 200
	_, _ = io.WriteString(w, PlainBody(e.ID, id))
}

// raw writes an answer by hand: bytes that are no answer, or a second answer behind the first one.
func (e *Engine) raw(w http.ResponseWriter, id, fault string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if fault == "rubbish" {
		_, _ = io.WriteString(conn, "\x00\x01 no answer\r\n\r\n")
		return
	}
	body := PlainBody(e.ID, id)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nKeep-Alive: timeout=6\r\nContent-Length: %d\r\n\r\n%s", HeaderID, id, HeaderSignature, Signature(e.ID, id), len(body), body)
	_, _ = io.WriteString(conn, answer)
	if fault == "late" {
		// The second copy comes when the next request has arrived.
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, _ = conn.Read(make([]byte, 1))
	}
	_, _ = io.WriteString(conn, answer)
	time.Sleep(300 * time.Millisecond)
}

func (e *Engine) stream(w http.ResponseWriter, req *http.Request, run *Run, fault string) {
	ctx := req.Context()
	from := 0
	if run.From != "" {
		from, _ = strconv.Atoi(run.From)
	}
	if strings.HasPrefix(run.Body, LongMark) {
		wait(ctx.Done(), e.stop, longFirst)
	} else {
		wait(ctx.Done(), e.stop, e.First)
	}
	select {
	case <-e.stop:
		panic(http.ErrAbortHandler)
	default:
	}
	if fault == "mute" {
		wait(ctx.Done(), e.stop, 20*time.Second)
		panic(http.ErrAbortHandler)
	}
	if fault == "error" {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed\n")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	breakAt := -1
	if fault != "" {
		breakAt = from + rand.IntN(max(1, e.Events-from))
	}
	for i := from + 1; i <= e.Events; i++ {
		if i-1 == breakAt {
			switch fault {
			case "cut":
				_, _ = fmt.Fprintf(w, "id: %d\ndata: half", i)
				_ = http.NewResponseController(w).Flush()
			case "stall":
				wait(ctx.Done(), e.stop, 5*time.Second)
			}
			Abort(w)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, EventData(e.ID, run.ID, i))
		if http.NewResponseController(w).Flush() != nil || ctx.Err() != nil {
			return
		}
		runsMu.Lock()
		run.Events = i
		runsMu.Unlock()
		if !wait(ctx.Done(), e.stop, e.Gap) {
			panic(http.ErrAbortHandler)
		}
	}
	run.Status = 200
}

// Abort resets the connection.
func Abort(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	panic(http.ErrAbortHandler)
}

func wait(done <-chan struct{}, stop chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-done:
		return false
	case <-stop:
		return false
	}
}

// Signature is an engine's signature.
func Signature(engine, id string) string {
	sum := sha256.Sum256([]byte("signed " + engine + " " + id))
	return engine + "." + hex.EncodeToString(sum[:6])
}

// PlainBody is the body of an answer to a plain request.
func PlainBody(engine, id string) string {
	return strings.Repeat("answer of "+engine+" to "+id+"\n", 20)
}

// EventData is the data of an event.
func EventData(engine, id string, i int) string {
	return fmt.Sprintf("%s says %d to %s %s", engine, i, id, strings.Repeat("x", 100))
}
