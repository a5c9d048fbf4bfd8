package resident

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/quorum"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
	"github.com/rhubarbsaddle/rhubarbsaddle/netopt"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
	"github.com/rhubarbsaddle/rhubarbsaddle/relay"
)

const (
	// sweepPeriod is the time between two looks at idle connections.
	sweepPeriod = 500 * time.Millisecond
	// balancerNotice is how long an entry that stops goes on taking connections.
	// The balancer asks once a second and leaves an entry out after two misses.
	balancerNotice = 2500 * time.Millisecond
	// drainPoll is the time between two looks whether all answers are out.
	drainPoll = 50 * time.Millisecond
	// graceMargin is kept of the time between SIGTERM and SIGKILL.
	graceMargin = 400 * time.Millisecond
	// idleSlack is added to the operators' idle timeout, so that a caller that
	// keeps to it never meets the close.
	idleSlack = time.Second
	// turnCacheBytes bounds the kept turns held in memory: some dozen conversations
	// a second, of some ten seconds and some ten kilobytes each.
	turnCacheBytes = 4 << 20
	// ledgerAway is how long the ledger may be out of reach before the entry leaves
	// the balancer. A connection that broke is back sooner.
	ledgerAway = time.Second
	// defaultHeaderTimeout bounds the reading of a header; the operators' limit is
	// not known when the server starts.
	defaultHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds a header, with room for the usual limit of 16 KiB.
	maxHeaderBytes = 32 << 10
)

// entry serves callers.
type entry struct {
	*process
	relay    *relay.Relay
	ledger   *quorum.RelayClient
	follower *discovery.Follower
	stopping atomic.Bool
	// overloaded is set while the entry is short of processor time.
	overloaded atomic.Bool
	idle       *idleConns
}

// runEntry serves callers until SIGTERM, and then until they have their answers.
func (p *process) runEntry(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &entry{process: p, idle: newIdleConns()}
	e.ledger = quorum.NewRelayClient(p.settings.Domain, p.settings.DisksLost, func() []string {
		return e.follower.Directory.Tunnels(p.settings.VM)
	})
	e.relay = relay.New(relay.Options{
		Dialect: platform.Dialect{}, Ledger: e.ledger, Domain: p.settings.Domain, Log: p.log,
		Metrics: relay.NewMetrics(p.registry), CacheBytes: turnCacheBytes, Seed: xxhash.Sum64String(p.settings.VM),
	})
	e.follower = p.newFollower(func() []string { return p.seeds(e.follower.Directory.Snapshot()) }, func(s discovery.Snapshot) {
		e.ledger.SetView(s.View)
		e.relay.Update(s)
	})
	e.follower.ViaMembers = true
	e.follower.Tunnel = &ledgerpb.Tunnel{Vm: p.settings.VM, Addr: p.settings.Listen.Tunnel}
	go e.follower.Run(ctx)
	ready, err := e.serveReady()
	if err != nil {
		return err
	}
	callers, err := e.serveCallers()
	if err != nil {
		return err
	}
	if err := e.serveTunnel(ctx); err != nil {
		return err
	}
	go e.sweep(ctx)
	go e.watchPressure(ctx)
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-term:
	case <-ctx.Done():
	}
	e.drain(callers)
	return ready.Close()
}

// serveReady answers the balancer's readiness checks.
func (e *entry) serveReady() (*http.Server, error) {
	addr := e.settings.Listen.Ready
	listener, err := netopt.ListenConfig().Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, &Error{Step: "listen", Peer: addr, Err: err}
	}
	server := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go e.serve(server, listener)
	return server, nil
}

// isReady says whether callers are served better here than at other entries. An
// entry without the ledger has to refuse every turn.
func (e *entry) isReady() bool {
	return !e.stopping.Load() && !e.overloaded.Load() && e.relay.HasConfig() && e.relay.LedgerUnavailableFor() < ledgerAway
}

// watchPressure measures how late timers fire, which is how long a step of a
// request waits for the processor.
func (e *entry) watchPressure(ctx context.Context) {
	p := newPressure(time.Now())
	timer := time.NewTimer(lagPeriod)
	defer timer.Stop()
	due := time.Now().Add(lagPeriod)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		away := p.observe(now.Sub(due), now)
		if e.overloaded.Swap(away) != away {
			e.relay.SetShedding(away)
			e.log.Info().Str("event", "overload").Bool("away", away).Dur("lag", p.lag).Int64("active", e.relay.Active()).Msg("")
		}
		due = time.Now().Add(lagPeriod)
		timer.Reset(lagPeriod)
	}
}

// serveTunnel passes other entries' connections on to ledger members. The members
// tell the others where.
func (e *entry) serveTunnel(ctx context.Context) error {
	addr := e.settings.Listen.Tunnel
	listener, err := netopt.ListenConfig().Listen(ctx, "tcp", addr)
	if err != nil {
		return &Error{Step: "listen", Peer: addr, Err: err}
	}
	tunnel := &transport.Tunnel{Log: e.log, Allowed: func(member string) bool {
		for _, seat := range e.follower.Directory.View().Seats {
			if seat.Addr == member {
				return true
			}
		}
		return false
	}}
	go func() {
		if err := tunnel.Serve(listener); err != nil {
			e.log.Error().Str("event", "tunnel_off").Err(err).Msg("")
		}
	}()
	return nil
}

func (e *entry) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		e.log.Error().Str("event", "serve_failed").Str("peer", listener.Addr().String()).Err(err).Msg("")
	}
}

// callers is the server of callers and its listener.
type callers struct {
	server   *http.Server
	listener net.Listener
}

func (e *entry) serveCallers() (*callers, error) {
	addr := e.settings.Listen.Callers
	listener, err := netopt.ListenConfig().Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, &Error{Step: "listen", Peer: addr, Err: err}
	}
	server := &http.Server{
		Handler:           e.idle.guard(e.relay),
		ReadHeaderTimeout: defaultHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         e.idle.follow,
		ConnContext:       e.idle.context,
	}
	go e.serve(server, listener)
	return &callers{server: server, listener: listener}, nil
}

func (e *entry) sweep(ctx context.Context) {
	ctxwait.Every(ctx, sweepPeriod, func(now time.Time) {
		e.relay.Sweep(now)
		limit := e.relay.Limits().IdleTimeout
		if limit <= 0 {
			return
		}
		if n := e.idle.closeOlder(now.Add(-limit - idleSlack)); n > 0 {
			e.log.Debug().Str("event", "idle_closed").Int("connections", n).Dur("limit", limit).Msg("")
		}
	})
}

// drain ends the entry without cutting off a request: it leaves the balancer, then
// takes no more connections, and ends when the answers under way are out. Callers
// that keep their connections busy would go on for ever, so idle connections are
// closed and the others end with their next answer.
func (e *entry) drain(c *callers) {
	e.log.Info().Str("event", "drain").Int64("active", e.relay.Active()).Msg("")
	e.stopping.Store(true)
	e.relay.DisableKeepAlives()
	end := time.Now().Add(e.settings.Bounds.Grace() - graceMargin)
	time.Sleep(balancerNotice)
	if err := c.listener.Close(); err != nil {
		e.log.Warn().Str("event", "listener_kept").Err(err).Msg("")
	}
	for time.Now().Before(end) {
		e.idle.closeOlder(time.Now())
		if e.relay.Active() == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	if active := e.relay.Active(); active > 0 {
		e.log.Warn().Str("event", "drain_cut").Int64("active", active).Msg("")
	}
	// Answers that were just written leave their buffers before the server ends.
	time.Sleep(drainPoll)
	if err := c.server.Close(); err != nil {
		e.log.Warn().Str("event", "server_close").Err(err).Msg("")
	}
	e.ledger.Close()
}
