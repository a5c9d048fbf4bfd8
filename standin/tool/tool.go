// Package tool is a stand-in for a tool or plain service. It accepts any method
// at any path, counts executions by idempotency key and echoes the request.
//
// The query parameter sleep, such as sleep=50ms, sets the execution time, and
// status sets the status of the answer. GET /tool/executions returns the number
// of executions of every key; package standin/fault injects faults.
package tool

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/standin/fault"
)

const (
	// headerKey is the header with the idempotency key of a request.
	headerKey = "Idempotency-Key"
	// maxBody limits the body of a request in bytes.
	maxBody = 16 << 20
	// pathExecutions is the path of the execution counts.
	pathExecutions = "/tool/executions"
)

// Echo is the answer to a request.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Body   string `json:"body,omitempty"`
	// Execution is the number of this execution under the key, from 1.
	Execution int `json:"execution"`
}

// Server is a tool service.
type Server struct {
	*fault.Server
	// executionTime is the execution time of requests without the parameter sleep.
	executionTime time.Duration

	mu         sync.Mutex
	executions map[string]int
}

// NewServer returns a service with an execution time; Start makes it listen.
func NewServer(execution time.Duration) *Server {
	s := &Server{executionTime: execution, executions: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathExecutions, s.serveExecutions)
	mux.HandleFunc("/", s.serve)
	s.Server = fault.NewServer(mux)
	return s
}

// Executions returns the number of executions under a key. The key of requests
// without one is their method and path, such as "POST /path".
func (s *Server) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// AllExecutions returns the number of executions under every key.
func (s *Server) AllExecutions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// serveExecutions replies with the number of executions under every key.
func (s *Server) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.AllExecutions())
}

// serve executes a request. It counts the execution before the execution time
// passes, because a request is executed even if the caller disconnects
// meanwhile.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get(headerKey)
	echo := Echo{Method: r.Method, Path: r.URL.Path, Key: key, Body: string(body)}
	echo.Execution = s.count(r, key)
	s.waitExecution(r)
	status := http.StatusOK
	if n, err := strconv.Atoi(r.URL.Query().Get("status")); err == nil && n >= 200 && n <= 599 {
		status = n
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(echo)
}

// count counts an execution and returns its number under the key.
func (s *Server) count(r *http.Request, key string) int {
	if key == "" {
		key = r.Method + " " + r.URL.Path
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	return s.executions[key]
}

// waitExecution waits for the execution time or until the caller disconnects.
func (s *Server) waitExecution(r *http.Request) {
	length := s.executionTime
	if d, err := time.ParseDuration(r.URL.Query().Get("sleep")); err == nil {
		length = d
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}
