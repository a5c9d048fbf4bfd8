package kv

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/etcdjson"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/fault"
)

const (
	// maxValue limits a value in bytes.
	maxValue = 1 << 20
	// maxBody limits a request's body in bytes.
	maxBody = 8 << 20
	// defaultProgress is used when Options.Progress is zero.
	defaultProgress = time.Second
)

// Options configures a Server.
type Options struct {
	// WritesPerSecond and ReadsPerSecond limit the rate of calls; zero means no
	// limit. A new watch counts as a read, a keep-alive as a write.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Progress is the time between the progress messages of a watch.
	Progress time.Duration
}

// Server is a key-value service.
type Server struct {
	*fault.Server
	options Options
	data    *database
	writes  *rate.Limiter
	reads   *rate.Limiter

	mu     sync.Mutex
	calls  map[string]int
	outage bool
	// outageBegan is closed when an outage begins.
	outageBegan chan struct{}
}

// NewServer returns an empty service; Start makes it listen.
func NewServer(o Options) *Server {
	if o.Progress <= 0 {
		o.Progress = defaultProgress
	}
	s := &Server{
		options:     o,
		data:        newDatabase(),
		writes:      newLimiter(o.WritesPerSecond),
		reads:       newLimiter(o.ReadsPerSecond),
		calls:       make(map[string]int),
		outageBegan: make(chan struct{}),
	}
	mux := http.NewServeMux()
	s.handle(mux, etcdjson.PathRange, s.reads, s.serveRange)
	s.handle(mux, etcdjson.PathPut, s.writes, s.servePut)
	s.handle(mux, etcdjson.PathDeleteRange, s.writes, s.serveDelete)
	s.handle(mux, etcdjson.PathTxn, s.writes, s.serveTxn)
	s.handle(mux, etcdjson.PathGrant, s.writes, s.serveGrant)
	s.handle(mux, etcdjson.PathKeepAlive, s.writes, s.serveKeepAlive)
	s.handle(mux, etcdjson.PathRevoke, s.writes, s.serveRevoke)
	s.handle(mux, etcdjson.PathWatch, s.reads, s.serveWatch)
	mux.HandleFunc("POST /kv/outage", s.serveOutage)
	mux.HandleFunc("GET /kv/calls", s.serveCalls)
	s.Server = fault.NewServer(mux)
	return s
}

// newLimiter returns a limiter with a burst of one second, or nil for no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// handle registers the handler of a call. During an outage or over the rate
// limit the call gets an error response instead.
func (s *Server) handle(mux *http.ServeMux, path string, limit *rate.Limiter, serve http.HandlerFunc) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case !s.countCall(path):
			writeError(w, http.StatusServiceUnavailable, etcdjson.CodeUnavailable, "etcdserver: no leader")
		case limit != nil && !limit.Allow():
			writeError(w, http.StatusTooManyRequests, etcdjson.CodeResourceExhausted, "etcdserver: too many requests")
		default:
			serve(w, r)
		}
	})
}

// countCall counts a call and reports whether the service is available.
func (s *Server) countCall(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[path]++
	return !s.outage
}

// SetOutage begins or ends an outage.
func (s *Server) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && !s.outage {
		close(s.outageBegan)
		s.outageBegan = make(chan struct{})
	}
	s.outage = on
}

// Calls returns the number of calls by path.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// serveOutage begins or ends an outage.
func (s *Server) serveOutage(w http.ResponseWriter, r *http.Request) {
	var in struct {
		On bool `json:"on"`
	}
	if readJSON(w, r, &in) {
		s.SetOutage(in.On)
	}
}

// serveCalls replies with the number of calls by path.
func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) }

// writeError replies with an error in the API's format.
func writeError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(etcdjson.Status{Error: message, Code: code, Message: message})
}

// readJSON decodes the body of a request. If that fails it replies with an error
// and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}

// writeJSON replies with v as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
