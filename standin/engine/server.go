package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	port "github.com/rhubarbsaddle/rhubarbsaddle/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine/openai"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/fault"
)

// Options configures a Server.
type Options struct {
	Params Params
	// Model is the model name in answers.
	Model string
	// MaxLoadAge is the age up to which the previous load report is sent again
	// instead of a new one.
	MaxLoadAge time.Duration
	// EventDelay is the delay with which cache events are sent.
	EventDelay time.Duration
	// EventGapEvery drops every cache event whose number is a multiple of it;
	// zero drops none.
	EventGapEvery uint64
	// ChecksFence rejects calls and commands with a stale fencing number.
	ChecksFence bool
	// Heartbeat is the time after which an idle stream gets a heartbeat.
	Heartbeat time.Duration
}

const (
	// defaultHeartbeat is used when Options.Heartbeat is zero.
	defaultHeartbeat = 500 * time.Millisecond
	// answerRetention is how long a finished answer can be resumed.
	answerRetention = time.Minute
	// maxBody limits the body of a request in bytes.
	maxBody = 16 << 20
)

// Server runs a Model in real time and serves it over HTTP. Paths and headers
// are those of package engine/openai; package standin/fault injects faults. In
// addition it serves
//
//	GET /engine/executions  the number of executions of each attempt
//	GET /engine/orders      the commands that were accepted
//	GET /engine/waste       the cache's waste counters
type Server struct {
	*fault.Server
	options Options
	origin  time.Time
	wakeup  chan struct{}
	stop    chan struct{}
	once    sync.Once

	mu         sync.Mutex
	model      *Model
	jobs       uint64
	byJob      map[core.AttemptID]*response
	byName     map[string]*response
	executions map[string]int
	events     cacheEventLog
	load       openai.WireLoad
	loadTime   time.Time
	fences     map[core.SlotID]core.Epoch
	commands   []port.Command
}

// NewServer returns a server; Start makes it listen.
func NewServer(o Options) *Server {
	if o.Heartbeat <= 0 {
		o.Heartbeat = defaultHeartbeat
	}
	if o.Model == "" {
		o.Model = "standin"
	}
	s := &Server{
		options:    o,
		origin:     time.Now(),
		wakeup:     make(chan struct{}, 1),
		stop:       make(chan struct{}),
		model:      NewModel(o.Params),
		byJob:      make(map[core.AttemptID]*response),
		byName:     make(map[string]*response),
		executions: make(map[string]int),
		events:     cacheEventLog{gapEvery: o.EventGapEvery, changed: make(chan struct{})},
		fences:     make(map[core.SlotID]core.Epoch),
	}
	s.Server = fault.NewServer(s.routes())
	go s.runModel()
	return s
}

// Close stops the engine and closes all connections.
func (s *Server) Close() error {
	s.once.Do(func() { close(s.stop) })
	return s.Server.Close()
}

// routes returns the handler of all paths.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+openai.PathChat, s.serveChat)
	mux.HandleFunc("GET "+openai.PathModels, s.serveModels)
	mux.HandleFunc("GET "+openai.PathResponses+"{name}", s.serveResume)
	mux.HandleFunc("POST "+openai.PathResponses+"{name}/cancel", s.serveCancel)
	mux.HandleFunc("GET "+openai.PathLoad, s.serveLoad)
	mux.HandleFunc("GET "+openai.PathCache, s.serveListing)
	mux.HandleFunc("GET "+openai.PathEvents, s.serveEvents)
	mux.HandleFunc("POST "+openai.PathRelease, s.serveRelease)
	mux.HandleFunc("POST "+openai.PathExport, s.serveExport)
	mux.HandleFunc("POST "+openai.PathImport, s.serveImport)
	mux.HandleFunc("POST "+openai.PathCommands, s.serveCommand)
	mux.HandleFunc("GET "+openai.PathCommands, s.serveCommands)
	mux.HandleFunc("GET /engine/executions", s.serveExecutions)
	mux.HandleFunc("GET /engine/waste", s.serveWaste)
	return mux
}

// now returns the current instant of the model's clock.
func (s *Server) now() core.Instant { return core.Instant(time.Since(s.origin)) }

// wake makes runModel advance the model now.
func (s *Server) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// runModel advances the model in real time until the server is closed.
func (s *Server) runModel() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if wait, busy := s.advance(); busy {
			timer.Reset(wait)
		} else {
			timer.Stop()
		}
		select {
		case <-timer.C:
		case <-s.wakeup:
		case <-s.stop:
			return
		}
	}
}

// advance runs the model up to now and returns the time to its next step.
func (s *Server) advance() (wait time.Duration, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, h := range s.model.Advance(now) {
		s.applyEvent(h)
	}
	next, busy := s.model.NextStep()
	return time.Duration(next.Sub(now)), busy
}

// applyEvent updates the answers and the cache event log from a model event.
func (s *Server) applyEvent(h Event) {
	switch h := h.(type) {
	case Started:
		s.applyStarted(h)
	case Tokens:
		if r := s.byJob[h.ID]; r != nil {
			r.addTokens(h.N)
			r.notify()
		}
	case Finished:
		if r := s.byJob[h.ID]; r != nil {
			r.finish(h.Usage)
			s.endJob(r)
		}
	case Rejected:
		if r := s.byJob[h.ID]; r != nil {
			r.reject(http.StatusBadRequest, "the conversation is longer than the engine's memory")
			s.endJob(r)
		}
	case Stored:
		s.events.add(h.Digests, nil, s.origin.Add(time.Duration(h.At)))
	case Evicted:
		s.events.add(nil, h.Digests, s.origin.Add(time.Duration(h.At)))
	case Preempted:
	}
}

// applyStarted starts an answer and counts the execution. A preempted job that
// starts again is not counted again.
func (s *Server) applyStarted(h Started) {
	r := s.byJob[h.ID]
	if r == nil {
		return
	}
	if !r.executed {
		r.executed = true
		s.executions[r.name]++
	}
	r.start()
	r.notify()
}

// endJob removes an ended job and deletes its answer after answerRetention.
func (s *Server) endJob(r *response) {
	delete(s.byJob, r.job)
	r.notify()
	time.AfterFunc(answerRetention, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.byName[r.name] == r {
			delete(s.byName, r.name)
		}
	})
}

// Executions returns the number of executions of an attempt.
func (s *Server) Executions(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[name]
}

// TotalExecutions returns the number of executions of all attempts.
func (s *Server) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.executions {
		sum += n
	}
	return sum
}

// nextName returns a name for a request without an attempt ID.
func (s *Server) nextName() string { return "anonymous-" + strconv.FormatUint(s.jobs, 10) }
