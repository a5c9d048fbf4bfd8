// Package fault serves a stand-in over HTTP and injects faults into it.
//
// Every stand-in serves these control requests, which are exempt from faults:
//
//	GET  /fault          return the active faults as JSON
//	POST /fault          replace the active faults by the Faults in the body
//	POST /fault/silence  make all other open connections permanently unresponsive
//	POST /fault/die      close the listener and all connections abruptly
package fault

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
)

// Faults are the faults that a Server injects into requests. The zero value
// injects none.
type Faults struct {
	// Path limits the faults to requests whose path has this prefix.
	Path string `json:"path,omitempty"`
	// Times is the maximum number of requests with faults; zero means no limit.
	Times int `json:"times,omitempty"`
	// Hang accepts requests without executing or answering them.
	Hang bool `json:"hang,omitempty"`
	// Delay is the time by which the execution of a request is delayed.
	Delay config.Duration `json:"late,omitempty"`
	// Status is an HTTP status to reply with instead of executing a request.
	Status int `json:"status,omitempty"`
	// LoseResponse executes a request and then closes its connection without a
	// response.
	LoseResponse bool `json:"lose_answer,omitempty"`
}

// isEmpty reports whether f injects no fault.
func (f Faults) isEmpty() bool {
	return !f.Hang && f.Delay == 0 && f.Status == 0 && !f.LoseResponse
}

// Server serves a handler and injects faults.
type Server struct {
	handler  http.Handler
	server   http.Server
	listener net.Listener

	mu       sync.Mutex
	faults   Faults
	conns    map[net.Conn]*connState
	injected int
}

// connState is the state of one accepted connection.
type connState struct {
	mu           sync.Mutex
	unresponsive bool
}

// connKey is the key of the connState in a request's context.
type connKey struct{}

// headerTimeout limits the time to read a request's header.
const headerTimeout = 10 * time.Second

// NewServer returns a server for a handler.
func NewServer(handler http.Handler) *Server {
	s := &Server{handler: handler, conns: make(map[net.Conn]*connState)}
	s.server = http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, s.addConn(c))
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				s.removeConn(c)
			}
		},
	}
	return s
}

// Start listens on an address and serves until Close. It returns the address
// with the port in use.
func (s *Server) Start(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	s.listener = l
	go func() { _ = s.server.Serve(l) }()
	return l.Addr().String(), nil
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	err := s.server.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// MakeUnresponsive makes all open connections permanently unresponsive: they
// stay open but get no more responses. New connections work.
func (s *Server) MakeUnresponsive() { s.makeUnresponsiveExcept(nil) }

// makeUnresponsiveExcept makes all open connections except one unresponsive.
func (s *Server) makeUnresponsiveExcept(except *connState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c != except {
			c.makeUnresponsive()
		}
	}
}

// Injected returns the number of requests into which a fault was injected.
func (s *Server) Injected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.injected
}

// addConn records a new connection.
func (s *Server) addConn(c net.Conn) *connState {
	state := &connState{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = state
	return state
}

// removeConn deletes the state of a closed connection.
func (s *Server) removeConn(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// nextFaults returns the faults that apply to a request and counts them against
// Faults.Times.
func (s *Server) nextFaults(path string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.isEmpty() || !strings.HasPrefix(path, f.Path) {
		return Faults{}
	}
	s.injected++
	if f.Times > 0 {
		s.faults.Times--
		if s.faults.Times == 0 {
			s.faults = Faults{}
		}
	}
	return f
}

// ServeHTTP injects the active faults and serves the request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*connState)
	if r.URL.Path == "/fault" || strings.HasPrefix(r.URL.Path, "/fault/") {
		s.serveControl(w, r, conn)
		return
	}
	if conn.isUnresponsive() {
		hang(r)
		return
	}
	f := s.nextFaults(r.URL.Path)
	if f.Delay > 0 {
		ctxwait.Sleep(r.Context(), time.Duration(f.Delay))
	}
	switch {
	case f.Hang:
		hang(r)
	case f.Status != 0:
		http.Error(w, "injected fault", f.Status)
	case f.LoseResponse:
		s.handler.ServeHTTP(discardWriter{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	default:
		s.handler.ServeHTTP(&connWriter{ResponseWriter: w, conn: conn}, r)
		conn.waitIfUnresponsive(r.Context())
	}
}

// serveControl serves the control requests.
func (s *Server) serveControl(w http.ResponseWriter, r *http.Request, conn *connState) {
	switch r.Method + " " + r.URL.Path {
	case "GET /fault":
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(f)
	case "POST /fault":
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	case "POST /fault/silence":
		s.makeUnresponsiveExcept(conn)
	case "POST /fault/die":
		go s.Close()
	default:
		http.NotFound(w, r)
	}
}

// hang leaves a request unanswered until the peer closes the connection. It
// reads the whole body first, because the server detects a closed connection
// only after that.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}
