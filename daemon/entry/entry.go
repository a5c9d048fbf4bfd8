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

// Options configures an entry daemon.
type Options struct {
	Settings config.Node
	Store    store.Store
	VMs      vmlist.Source
	Log      *log.Logger
	// Tick is the period of the reducer's ticks; zero means the default.
	Tick time.Duration
}

// Daemon is one incarnation of an entry.
type Daemon struct {
	node         *node.Node
	reducer      *reducer.Entry
	callerServer *http.Server
	addr         string
	reader       *history.Reader

	requestCount atomic.Uint64
	mu           sync.Mutex
	requests     map[core.RequestID]*request
}

// Start starts an entry, which serves until Close or Drain.
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

// Node returns the part of the runtime that all roles share.
func (d *Daemon) Node() *node.Node { return d.node }

// Addr returns the address at which callers are served.
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
	d.callerServer = server
	d.node.Serve(server, listener, "callers")
	return nil
}

// observe records a finished request in the metrics and the event log.
func (d *Daemon) observe(o front.Observation) {
	d.node.Metrics.RecordRequest(o.Route, o.Outcome, o.Reason, o.Elapsed, o.FirstByte)
	r := observe.Request{Call: o.Call, Finish: o.Finish, FirstToken: o.FirstToken, LastToken: o.LastToken}
	for _, obs := range observe.FromRequest(time.Now(), r, d.node.DomainOf(o.Finish.Sidecar.VM)) {
		d.node.Observe(obs)
	}
}

// Close stops the daemon abruptly, like a crash.
func (d *Daemon) Close() { d.node.Close() }

// Drain shuts down gracefully: it hands over the slots, stops accepting connections
// and answers the requests in flight. It returns an error if ctx ends before that.
// The daemon is closed in any case.
func (d *Daemon) Drain(ctx context.Context) error {
	defer d.node.Close()
	if err := d.node.DrainAndWait(ctx); err != nil {
		return err
	}
	if err := d.callerServer.Shutdown(ctx); err != nil {
		return &node.StepError{Step: "drain callers of", Peer: d.node.Self.String(), Err: err}
	}
	d.node.Flush(ctx)
	return nil
}

// Run serves until ctx is done or an operator requests a drain, then shuts down
// gracefully. It returns at once if the process can't continue.
func (d *Daemon) Run(ctx context.Context, drainTimeout time.Duration) error {
	return d.node.RunDaemon(ctx, d, drainTimeout)
}

// Config returns the active configuration, or nil if none was activated yet.
func (d *Daemon) Config() *config.Set { return d.node.Config() }

// run runs the effects of the entry role. It must not block.
func (d *Daemon) run(eff core.Effect) {
	switch e := eff.(type) {
	case core.Reply:
		if r := d.request(e.Req); r != nil {
			r.setFinish(e.Finish)
		}
	case core.HistoryLocated:
		if r := d.request(e.Req); r != nil {
			r.setHistory(e.Ref)
		}
	case core.AttachStream:
		if r := d.request(e.Req); r != nil {
			r.setSource(source{attempt: e.Attempt, sidecar: e.Sidecar})
		}
	}
}

func (d *Daemon) request(id core.RequestID) *request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests[id]
}

func (d *Daemon) openRequest() *request {
	r := &request{
		id:     core.RequestID{Ingress: d.node.Self, N: d.requestCount.Add(1)},
		notify: make(chan struct{}, 1),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests[r.id] = r
	return r
}

func (d *Daemon) closeRequest(r *request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.requests, r.id)
}

// End ends a program and its sub-agents.
func (d *Daemon) End(ctx context.Context, program core.ProgramID, account core.Account) core.Finish {
	r := d.openRequest()
	defer d.closeRequest(r)
	d.node.Post(core.EndArrived{Req: r.id, Program: program, Account: account})
	for {
		select {
		case <-r.notify:
			if _, finish := r.takeUpdate(); finish != nil {
				return *finish
			}
		case <-ctx.Done():
			return d.abandon(r, ctx)
		case <-d.node.Context().Done():
			return closingFinish()
		}
	}
}

// abandon notifies the reducer that the caller of a request has stopped waiting, and
// returns the result of the request.
func (d *Daemon) abandon(r *request, ctx context.Context) core.Finish {
	d.node.Post(core.CallerDisconnected{Req: r.id})
	reason := core.ReasonCanceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = core.ReasonTimeout
	}
	return core.Finish{Outcome: core.OutcomeUnknown, Reason: reason}
}

// closingFinish is the result of a request whose ingress is closing.
func closingFinish() core.Finish {
	return core.Finish{Outcome: core.OutcomeUnknown, Reason: core.ReasonDraining}
}
