package resident

import (
	"cmp"
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
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
	"github.com/rhubarbsaddle/rhubarbsaddle/netopt"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
	"github.com/rhubarbsaddle/rhubarbsaddle/relay"
)

const (
	// cleanupPeriod is the time between two cleanups of idle connections and of the relay.
	cleanupPeriod = 500 * time.Millisecond
	// balancerDetectionDelay is how long a draining entry continues to accept
	// connections. The balancer polls once a second and removes an entry after two
	// failed checks.
	balancerDetectionDelay = 2500 * time.Millisecond
	// drainPollPeriod is the time between two checks for unsent answers.
	drainPollPeriod = 50 * time.Millisecond
	// graceMargin is the part of the time between SIGTERM and SIGKILL that a drain
	// leaves unused.
	graceMargin = 400 * time.Millisecond
	// endedRequestTime is the part of graceMargin in which requests that were ended get their answers.
	endedRequestTime = 200 * time.Millisecond
	// idleSlack is added to the configured idle timeout, so that a caller that respects
	// the timeout never reuses a connection while it is being closed.
	idleSlack = time.Second
	// maxLedgerOutage is how long the ledger may be unavailable before the entry reports
	// itself unready. A broken connection is reestablished in less time.
	maxLedgerOutage = time.Second
	// firstStartDirectDelay is how long an entry waits for the ledger's members when all
	// processes start for the first time, instead of reading the store itself. Members take
	// their seats and targets register in that time, and each process that watches the store
	// costs it a call for each of these changes.
	firstStartDirectDelay = 3 * time.Second
	// defaultHeaderTimeout bounds the time to read a request's head while no configuration is
	// known.
	defaultHeaderTimeout = 10 * time.Second
	// headerSlack is added to the configured timeout, which callers measure on their side.
	headerSlack = 500 * time.Millisecond
	// maxHeaderTimeout and maxHeaderBytes bound a head if the configured limits are greater.
	maxHeaderTimeout = time.Minute
	maxHeaderBytes   = 64 << 10
)

// entry is the entry daemon, which serves callers.
type entry struct {
	*process
	relay      *relay.Relay
	ledger     *quorum.RelayClient
	follower   *discovery.Follower
	isDraining atomic.Bool
	// isOverloaded is set while the entry is unready because it lacks CPU time or network
	// bandwidth.
	isOverloaded atomic.Bool
	conns        *callerConns
	sockets      socketLimits
}

// runEntry serves callers until SIGTERM, then drains the requests in flight.
func (p *process) runEntry(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &entry{process: p, sockets: divideSockets(p.settings, openFileLimit())}
	e.conns = newCallerConns(callerLimits(p.settings, e.sockets))
	e.conns.maxUnaccounted = e.sockets.lingers
	e.ledger = quorum.NewRelayClient(p.settings.Domain, p.settings.DisksLost, func() []string {
		return e.follower.Directory.Tunnels(p.settings.VM)
	})
	e.relay = relay.New(e.relayOptions())
	e.follower = p.newFollower(func() []string { return p.ledgerAddrs(e.follower.Directory.Snapshot()) }, func(s discovery.Snapshot) {
		e.ledger.SetView(s.View)
		e.relay.Update(s)
	})
	e.follower.ViaMembers = !p.settings.Experiment.Disabled().Disables(mechanism.FollowMembers)
	if p.settings.FirstStart {
		e.follower.DirectDelay = firstStartDirectDelay
	}
	e.follower.Tunnel = &ledgerpb.Tunnel{Vm: p.settings.VM, Addr: p.settings.Listen.Tunnel}
	e.conns.register(p.registry)
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
	go e.runCleanup(ctx)
	if !p.settings.Experiment.Disabled().Disables(mechanism.OthersLoad) {
		load := &loadExchange{source: e.relay, log: e.log, exchange: func(ctx context.Context, own loadboard.Report) (loadboard.Summary, error) {
			return e.ledger.ExchangeLoad(ctx, p.settings.VM, own)
		}}
		go load.run(ctx)
	}
	if !p.settings.Experiment.Disabled().Disables(mechanism.OverloadDetection) {
		go e.watchOverload(ctx)
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-term:
	case <-ctx.Done():
	}
	e.drain(callers)
	return ready.Close()
}

func (e *entry) relayOptions() relay.Options {
	disabled := e.settings.Experiment.Disabled()
	o := relay.Options{
		Dialect: platform.Dialect{}, Ledger: e.ledger, Permits: e.ledger, Quotas: e.ledger, Domain: e.settings.Domain, VM: e.settings.VM, Log: e.log,
		Metrics: relay.NewMetrics(e.registry), Seed: xxhash.Sum64String(e.settings.VM),
		Disabled: disabled, AwaitFacts: !disabled.Disables(mechanism.OthersLoad),
		MaxChainBytes: maxChainBytes(e.settings), MaxIdleTargetConns: e.sockets.pooled,
	}
	if disabled.Disables(mechanism.RelayedAppends) {
		o.Ledger = e.ledger.Client
	}
	return o
}

// serveReady serves the balancer's readiness checks.
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
	go e.serve(server, boundConns(server, listener, operatorConnections))
	return server, nil
}

// isReady reports whether the balancer should send callers here. An entry that cannot
// reach the ledger would have to reject every turn.
func (e *entry) isReady() bool {
	return !e.isDraining.Load() && !e.isOverloaded.Load() && e.relay.HasConfig() && e.relay.LedgerUnavailableFor() < maxLedgerOutage
}

// watchOverload measures how late timers fire, which is how long a step of a request
// waits for the CPU, and how slowly the ledger responds over the entry's link. While the
// detector reports overload, the entry is unready and the relay sheds load.
func (e *entry) watchOverload(ctx context.Context) {
	detector := newOverloadDetector(time.Now())
	timer := time.NewTimer(delayPeriod)
	defer timer.Stop()
	due := time.Now().Add(delayPeriod)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		unready := detector.observe(now.Sub(due), e.relay.LedgerDelay(now), now)
		if e.isOverloaded.Swap(unready) != unready {
			e.relay.SetShedding(unready)
			e.log.Info().Str("event", "overload").Bool("away", unready).Dur("lag", detector.timerDelay).Dur("ledger", detector.ledgerDelay).Int64("active", e.relay.Active()).Msg("")
		}
		due = time.Now().Add(delayPeriod)
		timer.Reset(delayPeriod)
	}
}

// serveTunnel forwards other entries' connections to ledger members. Other entries get
// the tunnel's address from the members. A seat is a member's record in the ledger's
// membership view.
func (e *entry) serveTunnel(ctx context.Context) error {
	addr := e.settings.Listen.Tunnel
	listener, err := netopt.ListenConfig().Listen(ctx, "tcp", addr)
	if err != nil {
		return &Error{Step: "listen", Peer: addr, Err: err}
	}
	tunnel := &transport.Tunnel{Log: e.log, MaxConns: e.sockets.tunnels, Allowed: func(member string) bool {
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

// callerServer is the HTTP server for callers and its listener.
type callerServer struct {
	server   *http.Server
	listener net.Listener
}

func (e *entry) serveCallers() (*callerServer, error) {
	addr := e.settings.Listen.Callers
	listener, err := netopt.CallerListenConfig(callerReceiveBytes).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, &Error{Step: "listen", Peer: addr, Err: err}
	}
	server := &http.Server{
		Handler:           e.conns.rejectClosed(e.relay),
		ReadHeaderTimeout: maxHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         e.conns.trackState,
		ConnContext:       e.conns.addToContext,
	}
	go e.serve(server, &callerListener{Listener: listener, conns: e.conns})
	return &callerServer{server: server, listener: listener}, nil
}

func (e *entry) runCleanup(ctx context.Context) {
	ctxwait.Every(ctx, cleanupPeriod, func(now time.Time) {
		e.relay.Sweep(now)
		if stats, isNew := e.conns.newRefusals(); isNew {
			e.log.Warn().Str("event", "callers_refused").Int("connections", stats.Connections).Int("descriptors", stats.Descriptors).Int64("bytes", stats.Bytes).
				Int64("dropped", stats.Dropped).Int64("refused", stats.Refused).Msg("callers hold all that they may; totals since the start")
		}
		limits := e.relay.Limits()
		header := cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout)
		if n := e.conns.closeSlowHeads(now.Add(-header - headerSlack)); n > 0 {
			e.log.Info().Str("event", "slow_heads_closed").Int("connections", n).Dur("limit", header).Msg("")
		}
		if limits.IdleTimeout <= 0 {
			return
		}
		if n := e.conns.closeIdleBefore(now.Add(-limits.IdleTimeout - idleSlack)); n > 0 {
			e.log.Debug().Str("event", "idle_closed").Int("connections", n).Dur("limit", limits.IdleTimeout).Msg("")
		}
	})
}

// awaitAnswers closes idle connections until all answers in flight have been sent, until the end at
// most.
func (e *entry) awaitAnswers(end time.Time) {
	for e.conns.closeIdleBefore(time.Now()); e.relay.Active() > 0 && time.Now().Before(end); e.conns.closeIdleBefore(time.Now()) {
		time.Sleep(drainPollPeriod)
	}
}

// drain shuts the entry down without interrupting requests. It becomes unready, stops
// accepting connections once the balancer has noticed, and ends when all answers in
// flight have been sent, or graceMargin before SIGKILL, when those without one are ended.
// Callers that keep their connections busy could delay the end indefinitely. The entry therefore
// closes idle connections, and each other connection after its next answer.
func (e *entry) drain(c *callerServer) {
	e.log.Info().Str("event", "drain").Int64("active", e.relay.Active()).Msg("")
	e.isDraining.Store(true)
	begun := time.Now()
	end := begun.Add(e.settings.Bounds.Grace() - graceMargin)
	e.relay.BeginShutdown(relay.Shutdown{CallersLeave: begun.Add(balancerDetectionDelay), End: end})
	time.Sleep(balancerDetectionDelay)
	if err := c.listener.Close(); err != nil {
		e.log.Warn().Str("event", "listener_kept").Err(err).Msg("")
	}
	e.awaitAnswers(end)
	e.relay.EndRequests()
	e.awaitAnswers(end.Add(endedRequestTime))
	if active := e.relay.Active(); active > 0 {
		e.log.Warn().Str("event", "drain_cut").Int64("active", active).Msg("")
	}
	// Answers that were just written may still be in the send buffers.
	time.Sleep(drainPollPeriod)
	if err := c.server.Close(); err != nil {
		e.log.Warn().Str("event", "server_close").Err(err).Msg("")
	}
	e.ledger.Close()
}
