package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/vmlist"
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/loop"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peer"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/tlsfile"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// StepError is a failure of the runtime.
type StepError struct {
	// Step is the operation that failed, such as "listen".
	Step string
	// Peer is the address or service that the operation used.
	Peer string
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *StepError) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

// Options configures a Node.
type Options struct {
	Settings config.Node
	Store    store.Store
	VMs      vmlist.Source
	Log      *log.Logger
	// Tick is the period of the reducer's ticks; zero means loop.DefaultTick.
	Tick time.Duration
	// Reducer creates the reducer of this incarnation.
	Reducer func(self core.Node, invariants *invariant.Recorder) core.Reducer
	// RunEffect runs the effects that the node does not run itself.
	RunEffect func(core.Effect)
	// Status returns the reducer's state for operators; it is called between
	// two events.
	Status func() any
	// UnhealthyReason returns why the load balancer should not use the node, or "". It
	// is called between two events and may be nil.
	UnhealthyReason func() string
	// Answers serves the answers that a sidecar stores. It is nil for an entry.
	Answers peer.AnswerStore
	// History serves the conversations that a sidecar stores. It is nil for an
	// entry.
	History peer.HistoryStore
	// ConfigFromPeers prefers other entries to the key-value service as the source of
	// the configuration.
	ConfigFromPeers bool
	// WatchPrefixes are the key prefixes to watch in the key-value service.
	WatchPrefixes []string
}

// Node is the shared part of the runtime of one incarnation of a process.
type Node struct {
	Self       core.Node
	Clock      *loop.Clock
	Invariants *invariant.Recorder
	Metrics    *Metrics
	// Events is the event log, which holds observations and decisions.
	Events *observe.Log

	options Options
	log     *log.Logger
	tls     *tlsfile.Files
	peers   *peer.Client
	loop    *loop.Loop
	outages *outageLog
	applied atomic.Pointer[AppliedConfig]
	// vms is the VM list as last fetched.
	vms atomic.Pointer[[]core.VMInfo]
	// domains maps the VMs in that list to their failure domains.
	domains atomic.Pointer[map[core.VM]core.Domain]

	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	servers      []*http.Server
	peerListener net.Listener
	// operatorAddr is the address of the operators' port, or "".
	operatorAddr string
	stopped      chan struct{}
	stoppedOnce  sync.Once
	fatal        chan error
}

// New binds the listening address, which begins a new incarnation. Start then runs
// it.
func New(options Options) (*Node, error) {
	if options.Log == nil {
		options.Log = &log.Logger{Level: log.PanicLevel}
	}
	files, err := tlsfile.Load(options.Settings.TLS)
	if err != nil {
		return nil, err
	}
	// The listening socket serves as a lock that at most one incarnation of a VM's
	// process holds. The incarnation number is chosen while holding it.
	peers, err := net.Listen("tcp", options.Settings.Listen.Peers)
	if err != nil {
		return nil, &StepError{Step: "listen", Peer: options.Settings.Listen.Peers, Err: err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		Self:         core.Node{VM: core.VM(options.Settings.VM), Inc: loop.Incarnation()},
		Clock:        loop.NewClock(),
		Invariants:   &invariant.Recorder{},
		options:      options,
		log:          options.Log,
		tls:          files,
		ctx:          ctx,
		cancel:       cancel,
		peerListener: peers,
		stopped:      make(chan struct{}),
		fatal:        make(chan error, 1),
	}
	n.outages = newOutageLog(n.log)
	if err := n.openMetricsAndEventLog(); err != nil {
		cancel()
		peers.Close()
		return nil, err
	}
	n.peers = peer.NewClient(peer.Options{
		Self:    n.Self,
		Addr:    replyAddr(peers.Addr()),
		TLS:     files,
		OnError: n.recordPeerError,
	})
	return n, nil
}

// Start starts the reducer and the servers. Post may be called only afterwards.
func (n *Node) Start() error {
	var err error
	n.loop, err = loop.New(loop.Options{
		Reducer:   n.options.Reducer(n.Self, n.Invariants),
		Clock:     n.Clock,
		RunEffect: n.run,
		Tick:      n.options.Tick,
		OnPanic:   n.reportFatal,
	})
	if err != nil {
		n.Close()
		return err
	}
	n.loop.Start()
	n.servePeers(n.peerListener)
	if err := n.serveOperators(); err != nil {
		n.Close()
		return err
	}
	n.startFollowers()
	n.log.Info().Str("step", "start").Str("node", n.Self.String()).
		Str("peers", n.peerListener.Addr().String()).Msg("process started")
	return nil
}

// Post queues an event for the reducer. It never blocks.
func (n *Node) Post(ev core.Event) { n.loop.Post(ev) }

// Config returns the active configuration, or nil if none was activated yet.
func (n *Node) Config() *config.Set {
	if a := n.applied.Load(); a != nil {
		return a.Set
	}
	return nil
}

// Generation returns the generation of the active configuration, or zero if none
// was activated yet.
func (n *Node) Generation() uint64 {
	if a := n.applied.Load(); a != nil {
		return a.Generation
	}
	return 0
}

// Peers returns the client for the node's peers.
func (n *Node) Peers() *peer.Client { return n.peers }

// replyAddr returns the address at which peers may reach this process before the VM
// list contains its VM, or "" if the process listens on all addresses.
func replyAddr(addr net.Addr) string {
	at, err := netip.ParseAddrPort(addr.String())
	if err != nil || at.Addr().IsUnspecified() {
		return ""
	}
	return at.String()
}

// PeerAddr returns the address at which peers are served.
func (n *Node) PeerAddr() string { return n.peerListener.Addr().String() }

// OperatorAddr returns the address of the operators' port, or "".
func (n *Node) OperatorAddr() string { return n.operatorAddr }

// Log returns the node's logger.
func (n *Node) Log() *log.Logger { return n.log }

// TLS returns the node's certificate files, or nil if connections are plain text.
func (n *Node) TLS() *tlsfile.Files { return n.tls }

// Context returns a context that is canceled when the node closes.
func (n *Node) Context() context.Context { return n.ctx }

// Drain starts a graceful shutdown. Stopped reports its end.
func (n *Node) Drain() {
	n.log.Info().Str("step", "drain").Msg("graceful shutdown requested")
	n.Post(core.DrainRequested{})
}

// flushTimeout bounds the wait for the last messages of a process.
const flushTimeout = time.Second

// Flush waits until the messages sent so far are acknowledged or dropped, for at most
// flushTimeout.
func (n *Node) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	n.peers.Flush(ctx)
}

// Stopped returns a channel that is closed when the reducer reports that its shutdown
// is complete.
func (n *Node) Stopped() <-chan struct{} { return n.stopped }

// Fatal returns a channel that delivers the error after which the process must exit.
func (n *Node) Fatal() <-chan error { return n.fatal }

// Close stops the node abruptly, like a crash: sockets are closed and all state is
// lost.
func (n *Node) Close() {
	// The sockets are closed first, so that nothing is sent any more.
	for _, s := range n.servers {
		s.Close()
	}
	n.cancel()
	n.peerListener.Close()
	n.peers.Close()
	if n.loop != nil {
		n.loop.Stop()
	}
	n.goroutines.Wait()
	if err := n.Events.Close(); err != nil {
		n.log.Warn().Str("step", "close").Err(err).Msg("closing the event log failed; its last events may be missing")
	}
}

func (n *Node) reportFatal(err error) {
	n.log.Error().Str("step", "reduce").Err(err).Msg("fatal error; the process exits")
	select {
	case n.fatal <- err:
	default:
	}
}

func (n *Node) recordPeerError(err error) {
	n.Metrics.RecordPeerError()
	n.log.Debug().Str("step", "peer").Err(err).Msg("call to a peer failed")
}

// goRun runs fn in a goroutine that Close waits for.
func (n *Node) goRun(fn func()) {
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		fn()
	}()
}

// sleep waits for d. It reports false if the node closes before that.
func (n *Node) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}
