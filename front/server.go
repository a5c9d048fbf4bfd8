package front

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Limits on callers' requests. The Default constants apply where Options set no
// limit.
const (
	DefaultMaxBodyBytes   = 16 << 20
	DefaultMaxHeaderBytes = 64 << 10
	DefaultReadTimeout    = 30 * time.Second
	// writeTimeout bounds a single write to a caller.
	writeTimeout = 30 * time.Second
	// idleTimeout is the time after which an idle keep-alive connection is closed.
	idleTimeout = 5 * time.Minute
)

// Options are the settings of a Server.
type Options struct {
	Backend Backend
	Limits  config.Limits
	Log     *log.Logger
	// Observe, if set, is called with each finished request.
	Observe func(Observation)
}

// Observation describes a finished request.
type Observation struct {
	// Route is "chat", "service", "models", "history" or "end".
	Route   string
	Status  int
	Outcome core.Outcome
	Reason  core.Reason
	Elapsed time.Duration
	// FirstByte is the time until the first part of the answer, or zero.
	FirstByte time.Duration
	// FirstToken and LastToken are the times until the first and the last text of
	// a streamed answer, or zero.
	FirstToken time.Duration
	LastToken  time.Duration
	// Call is the call without its body and blocks. It is the zero Call if the
	// request was rejected before it reached the backend.
	Call core.Call
	// Finish is the final result of a call that reached the backend.
	Finish core.Finish
}

// Server is the HTTP handler for callers.
type Server struct {
	options Options
	keys    keyrings
	mux     *http.ServeMux
}

// New returns a server. Limits that are zero are replaced by the defaults.
func New(options Options) *Server {
	if options.Limits.BodyBytes == 0 {
		options.Limits.BodyBytes = DefaultMaxBodyBytes
	}
	if options.Limits.HeaderBytes == 0 {
		options.Limits.HeaderBytes = DefaultMaxHeaderBytes
	}
	if options.Limits.ReadTimeout == 0 {
		options.Limits.ReadTimeout = config.Duration(DefaultReadTimeout)
	}
	s := &Server{options: options, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	s.mux.HandleFunc("GET /v1/models", s.serveModels)
	s.mux.HandleFunc("GET /v1/programs/{program...}", s.serveHistory)
	s.mux.HandleFunc("DELETE /v1/programs/{program...}", s.serveEnd)
	s.mux.HandleFunc("/", s.serveService)
	return s
}

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	extendWriteDeadline(w)
	s.mux.ServeHTTP(w, r)
}

// extendWriteDeadline bounds the next write. Without it, the deadline of an
// earlier response on the same connection would still apply. It ignores writers
// that do not support deadlines, such as those of tests.
func extendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// HTTPServer returns an http.Server for s with timeouts and limits set.
func (s *Server) HTTPServer() *http.Server {
	read := time.Duration(s.options.Limits.ReadTimeout)
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: read,
		ReadTimeout:       read,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.options.Limits.HeaderBytes,
	}
}

// readBody reads the body of a request, up to the configured limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *APIError) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.Limits.BodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, apiErrorf("read body", reasonTooLarge, "the body is longer than %d bytes", tooLarge.Limit)
	}
	return nil, apiErrorf("read body", reasonInvalid, "the body cannot be read: %v", err)
}

// reject responds with an error to a request that did not reach the backend.
func (s *Server) reject(w http.ResponseWriter, route string, start time.Time, apiErr *APIError) {
	apiErr.write(w)
	s.observe(Observation{
		Route:   route,
		Status:  apiErr.status,
		Outcome: core.OutcomeNotRun,
		Reason:  core.Reason(apiErr.Code),
		Elapsed: time.Since(start),
	})
}

func (s *Server) observe(o Observation) {
	if s.options.Observe != nil {
		s.options.Observe(o)
	}
	if s.options.Log != nil && o.Reason != "" {
		s.options.Log.Info().Str("step", o.Route).Str("reason", string(o.Reason)).
			Str("outcome", o.Outcome.String()).Int("status", o.Status).
			Dur("elapsed", o.Elapsed).Msg("request failed; sent an error response to the caller")
	}
}
