package resident

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/quorum"
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
	// graceMargin is kept of the time between SIGTERM and SIGKILL.
	graceMargin = 400 * time.Millisecond
	// idleSlack is added to the operators' idle timeout, so that a caller that
	// keeps to it never meets the close.
	idleSlack = time.Second
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
	ledger   *quorum.Client
	follower *discovery.Follower
	stopping atomic.Bool
	idle     idleConns
}

// runEntry serves callers until SIGTERM, and then until they have their answers.
func (p *process) runEntry(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &entry{process: p, ledger: quorum.NewClient(p.settings.Domain, p.settings.DisksLost)}
	e.relay = relay.New(relay.Options{
		Dialect: platform.Dialect{}, Ledger: e.ledger, Domain: p.settings.Domain, Log: p.log,
		Metrics: relay.NewMetrics(p.registry), Seed: xxhash.Sum64String(p.settings.VM),
	})
	e.follower = p.newFollower(func() []string { return p.seeds(e.follower.Directory.Snapshot()) }, func(s discovery.Snapshot) {
		e.ledger.SetView(s.View)
		e.relay.Update(s)
	})
	go e.follower.Run(ctx)
	ready, err := e.serveReady()
	if err != nil {
		return err
	}
	callers, err := e.serveCallers()
	if err != nil {
		return err
	}
	go e.sweep(ctx)
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
		if e.stopping.Load() || !e.relay.Configured() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go e.serve(server, listener)
	return server, nil
}

func (e *entry) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		e.log.Error().Str("event", "serve_failed").Str("peer", listener.Addr().String()).Err(err).Msg("")
	}
}

func (e *entry) serveCallers() (*http.Server, error) {
	addr := e.settings.Listen.Callers
	listener, err := netopt.ListenConfig().Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, &Error{Step: "listen", Peer: addr, Err: err}
	}
	server := &http.Server{
		Handler:           e.relay,
		ReadHeaderTimeout: defaultHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         e.idle.follow,
	}
	go e.serve(server, listener)
	return server, nil
}

func (e *entry) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.relay.Sweep(now)
			if limit := e.relay.Limits().IdleTimeout; limit > 0 {
				e.idle.closeOlder(now.Add(-limit - idleSlack))
			}
		}
	}
}

// drain ends the entry without cutting off a request: it is out of the balancer
// first, then waits for the answers under way.
func (e *entry) drain(callers *http.Server) {
	e.log.Info().Str("event", "drain").Int64("active", e.relay.Active()).Msg("")
	e.stopping.Store(true)
	e.relay.Stop()
	end := time.Now().Add(e.settings.Bounds.Grace() - graceMargin)
	time.Sleep(balancerNotice)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	// Callers that keep their connections busy would go on for ever, so idle
	// connections are closed now and the others with their next answer.
	if err := callers.Shutdown(ctx); err != nil {
		e.log.Warn().Str("event", "drain_cut").Int64("active", e.relay.Active()).Err(err).Msg("")
	}
	e.ledger.Close()
}

// idleConns follows callers' idle connections, since the operators' idle timeout
// changes with the configuration.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func (i *idleConns) follow(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.since == nil {
		i.since = make(map[net.Conn]time.Time)
	}
	if state == http.StateIdle || state == http.StateNew {
		i.since[c] = time.Now()
	} else {
		delete(i.since, c)
	}
}

func (i *idleConns) closeOlder(limit time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if since.Before(limit) {
			// The server sees the close and drops the connection.
			_ = c.Close()
		}
	}
}
