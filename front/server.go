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

// Bounds on what a caller's request may cost, where the settings give none.
const (
	DefaultBodyBytes   = 16 << 20
	DefaultHeaderBytes = 64 << 10
	DefaultReadTimeout = 30 * time.Second
	// writeTimeout bounds one write to a caller.
	writeTimeout = 30 * time.Second
	// idleTimeout closes kept connections without a request.
	idleTimeout = 5 * time.Minute
)

// Options are the settings of a Server.
type Options struct {
	Backend Backend
	Limits  config.Limits
	Log     *log.Logger
	// Observe, if set, is told of each finished request.
	Observe func(Observation)
}

// Observation describes a finished request.
type Observation struct {
	// Route is chat, service, models or end.
	Route   string
	Status  int
	Outcome core.Outcome
	Reason  core.Reason
	Elapsed time.Duration
	// FirstByte is the time until the first part of the answer, zero if none.
	FirstByte time.Duration
	// FirstToken and LastToken are the times until the first and the last text of
	// a streamed answer, zero if there was none.
	FirstToken time.Duration
	LastToken  time.Duration
	// Call is the call as far as the request could be read, without its body and
	// blocks.
	Call core.Call
	// Finish is the final word on a call that was passed on.
	Finish core.Finish
}

// Server is the HTTP handler for callers.
type Server struct {
	options Options
	keys    keyrings
	mux     *http.ServeMux
}

// New returns a server. Zero limits are replaced by the defaults.
func New(options Options) *Server {
	if options.Limits.BodyBytes == 0 {
		options.Limits.BodyBytes = DefaultBodyBytes
	}
	if options.Limits.HeaderBytes == 0 {
		options.Limits.HeaderBytes = DefaultHeaderBytes
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
	extendWrite(w)
	s.mux.ServeHTTP(w, r)
}

// extendWrite bounds the next write. The bound of an earlier response on the
// same connection would hold otherwise. Writers without deadlines, as in tests,
// are as good.
func extendWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// HTTPServer returns a server with timeouts and bounds set.
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

// readBody reads the body of a request within the limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *APIError) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.Limits.BodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusef("read body", reasonTooLarge, "the body is longer than %d bytes", tooLarge.Limit)
	}
	return nil, refusef("read body", reasonInvalid, "the body cannot be read: %v", err)
}

// reject sends a refusal that arose before the call was passed on.
func (s *Server) reject(w http.ResponseWriter, route string, began time.Time, refusal *APIError) {
	refusal.send(w)
	s.observe(Observation{
		Route:   route,
		Status:  refusal.status,
		Outcome: core.OutcomeNotRun,
		Reason:  core.Reason(refusal.Code),
		Elapsed: time.Since(began),
	})
}

func (s *Server) observe(o Observation) {
	if s.options.Observe != nil {
		s.options.Observe(o)
	}
	if s.options.Log != nil && o.Reason != "" {
		s.options.Log.Info().Str("step", o.Route).Str("reason", string(o.Reason)).
			Str("outcome", o.Outcome.String()).Int("status", o.Status).
			Dur("elapsed", o.Elapsed).Msg("request refused")
	}
}
