package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/vmlist"
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	reducer "github.com/rhubarbsaddle/rhubarbsaddle/core/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/node"
	"github.com/rhubarbsaddle/rhubarbsaddle/front"
	"github.com/rhubarbsaddle/rhubarbsaddle/history"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// DefaultDrainTimeout bounds a graceful shutdown.
const DefaultDrainTimeout = time.Minute

// Options are the settings of an entry daemon.
type Options struct {
	Settings config.Node
	Store    store.Store
	VMs      vmlist.Source
	Log      *log.Logger
	// Tick is the period of the reducer's ticks; zero means the default.
	Tick time.Duration
}

// Daemon is one life of an entry.
type Daemon struct {
	node    *node.Node
	reducer *reducer.Entry
	callers *http.Server
	addr    string
	reader  *history.Reader

	next     atomic.Uint64
	mu       sync.Mutex
	requests map[core.RequestID]*request
}

// Start begins a life and serves until Close or Drain.
func Start(options Options) (*Daemon, error) {
	reader, err := history.NewReader()
	if err != nil {
		return nil, err
	}
	d := &Daemon{requests: make(map[core.RequestID]*request), reader: reader}
	n, err := node.New(node.Options{
		Settings: options.Settings,
		Store:    options.Store,
		VMs:      options.VMs,
		Log:      options.Log,
		Tick:     options.Tick,
		Reducer: func(self core.Node, invariants *invariant.Recorder) core.Reducer {
			d.reducer = reducer.New(reducer.Options{
				Self:       self,
				Domain:     core.Domain(options.Settings.Domain),
				Seed:       uint64(self.Inc),
				Invariants: invariants,
			})
			return d.reducer
		},
		RunEffect: d.run,
		Status:    func() any { return d.reducer.Status() },
		UnhealthyReason: func() string {
			if d.reducer.Isolated() {
				return "the entry hears no other entry and no key-value service"
			}
			return ""
		},
		WatchPrefixes: []string{core.SlotPrefix, core.ConfigHeadKey},
	})
	if err != nil {
		return nil, err
	}
	d.node = n
	if err := n.Start(); err != nil {
		return nil, err
	}
	if err := d.serveCallers(options.Settings); err != nil {
		n.Close()
		return nil, err
	}
	return d, nil
}

// Node returns the shared shell.
func (d *Daemon) Node() *node.Node { return d.node }

// Addr returns the address that callers use.
func (d *Daemon) Addr() string { return d.addr }

func (d *Daemon) serveCallers(settings config.Node) error {
	listener, err := net.Listen("tcp", settings.Listen.Callers)
	if err != nil {
		return &node.StepError{Step: "listen", Peer: settings.Listen.Callers, Err: err}
	}
	d.addr = listener.Addr().String()
	server := front.New(front.Options{
		Backend: d,
		Limits:  settings.Limits,
		Log:     d.node.Log(),
		Observe: func(o front.Observation) {
			d.observe(o)
		},
	}).HTTPServer()
	if files := d.node.TLS(); files != nil {
		server.TLSConfig = files.Server(false)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", d.node.ServeHealth)
	mux.Handle("/", server.Handler)
	server.Handler = mux
	d.callers = server
	d.node.Serve(server, listener, "callers")
	return nil
}

// observe records a finished request of a caller.
func (d *Daemon) observe(o front.Observation) {
	d.node.Metrics.Request(o.Route, o.Outcome, o.Reason, o.Elapsed, o.FirstByte)
	r := observe.Request{Call: o.Call, Finish: o.Finish, FirstToken: o.FirstToken, LastToken: o.LastToken}
	for _, obs := range observe.FromRequest(time.Now(), r, d.node.DomainOf(o.Finish.Sidecar.VM)) {
		d.node.Observe(obs)
	}
}

// Close ends the life at once, as a crash would.
func (d *Daemon) Close() { d.node.Close() }

// Drain shuts down gracefully: the slots are handed over, no new connection is
// taken, and the requests in flight are answered. It returns an error if that
// took longer than ctx allows; the life has ended in any case.
func (d *Daemon) Drain(ctx context.Context) error {
	defer d.node.Close()
	if err := d.node.DrainAndWait(ctx); err != nil {
		return err
	}
	if err := d.callers.Shutdown(ctx); err != nil {
		return &node.StepError{Step: "drain callers of", Peer: d.node.Self.String(), Err: err}
	}
	d.node.Flush(ctx)
	return nil
}

// Run serves until ctx is done and shuts down gracefully then, or until the
// process cannot go on. An operator's drain request ends it as well.
func (d *Daemon) Run(ctx context.Context, drainTimeout time.Duration) error {
	return d.node.RunDaemon(ctx, d, drainTimeout)
}

// Config returns the configuration in force, or nil.
func (d *Daemon) Config() *config.Set { return d.node.Config() }

// run takes the effects of the role. It must not block.
func (d *Daemon) run(eff core.Effect) {
	switch e := eff.(type) {
	case core.Reply:
		if r := d.request(e.Req); r != nil {
			r.finished(e.Finish)
		}
	case core.HistoryLocated:
		if r := d.request(e.Req); r != nil {
			r.found(e.Ref)
		}
	case core.AttachStream:
		if r := d.request(e.Req); r != nil {
			r.placed(source{attempt: e.Attempt, sidecar: e.Sidecar})
		}
	}
}

func (d *Daemon) request(id core.RequestID) *request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests[id]
}

func (d *Daemon) open() *request {
	r := &request{
		id:     core.RequestID{Ingress: d.node.Self, N: d.next.Add(1)},
		notify: make(chan struct{}, 1),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests[r.id] = r
	return r
}

func (d *Daemon) close(r *request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.requests, r.id)
}

// End ends a program and its sub-agents.
func (d *Daemon) End(ctx context.Context, program core.ProgramID, account core.Account) core.Finish {
	r := d.open()
	defer d.close(r)
	d.node.Post(core.EndArrived{Req: r.id, Program: program, Account: account})
	for {
		select {
		case <-r.notify:
			if _, finish := r.take(); finish != nil {
				return *finish
			}
		case <-ctx.Done():
			return d.leave(r, ctx)
		case <-d.node.Context().Done():
			return died()
		}
	}
}

// leave tells the reducer that the caller of a request no longer waits.
func (d *Daemon) leave(r *request, ctx context.Context) core.Finish {
	d.node.Post(core.CallerDisconnected{Req: r.id})
	reason := core.ReasonCanceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = core.ReasonTimeout
	}
	return core.Finish{Outcome: core.OutcomeUnknown, Reason: reason}
}

// died is the end of a request whose edge is closing.
func died() core.Finish {
	return core.Finish{Outcome: core.OutcomeUnknown, Reason: core.ReasonDraining}
}
