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

// StepError is a failure of the shell.
type StepError struct {
	// Step is what the shell was doing, such as "listen".
	Step string
	// Peer is the address or service it was doing it with.
	Peer string
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *StepError) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

// Options are the settings of a Node.
type Options struct {
	Settings config.Node
	Store    store.Store
	VMs      vmlist.Source
	Log      *log.Logger
	// Tick is the period of the reducer's ticks; zero means loop.DefaultTick.
	Tick time.Duration
	// Reducer makes the reducer of this life.
	Reducer func(self core.Node, invariants *invariant.Recorder) core.Reducer
	// RunEffect takes the effects that the node does not run itself.
	RunEffect func(core.Effect)
	// Status returns the reducer's state for operators; it is called between
	// two events.
	Status func() any
	// UnhealthyReason returns why the balancer should leave the node out, or nothing; it
	// is called between two events and may be nil.
	UnhealthyReason func() string
	// Answers is where a sidecar keeps its answers; nil for an entry.
	Answers peer.Answers
	// History is where a sidecar keeps conversations; nil for an entry.
	History peer.History
	// ConfigFromPeers makes other entries the first source of the configuration.
	ConfigFromPeers bool
	// WatchPrefixes names the prefixes of the key-value service that are watched.
	WatchPrefixes []string
}

// Node is the shared shell of one life of a process.
type Node struct {
	Self       core.Node
	Clock      *loop.Clock
	Invariants *invariant.Recorder
	Metrics    *Metrics
	// Events is the log of observations and decisions.
	Events *observe.Log

	options Options
	log     *log.Logger
	tls     *tlsfile.Files
	mesh    *peer.Client
	loop    *loop.Loop
	health  *health
	applied atomic.Pointer[AppliedConfig]
	// vms is the last reading of the VM list.
	vms atomic.Pointer[[]core.VMInfo]
	// domains holds the failure domains of that reading.
	domains atomic.Pointer[map[core.VM]core.Domain]

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	servers []*http.Server
	peers   net.Listener
	// operators is the address of the operators' port, or "".
	operators string
	stopped   chan struct{}
	once      sync.Once
	fatal     chan error
}

// New takes the listening address and begins a new life, which Start runs.
func New(options Options) (*Node, error) {
	if options.Log == nil {
		options.Log = &log.Logger{Level: log.PanicLevel}
	}
	files, err := tlsfile.Load(options.Settings.TLS)
	if err != nil {
		return nil, err
	}
	// The listening socket is the lock that only one life of a VM's process
	// holds; the incarnation is chosen under it.
	peers, err := net.Listen("tcp", options.Settings.Listen.Peers)
	if err != nil {
		return nil, &StepError{Step: "listen", Peer: options.Settings.Listen.Peers, Err: err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		Self:       core.Node{VM: core.VM(options.Settings.VM), Inc: loop.Incarnation()},
		Clock:      loop.NewClock(),
		Invariants: &invariant.Recorder{},
		options:    options,
		log:        options.Log,
		tls:        files,
		ctx:        ctx,
		cancel:     cancel,
		peers:      peers,
		stopped:    make(chan struct{}),
		fatal:      make(chan error, 1),
	}
	n.health = newHealth(n.log)
	if err := n.openRecords(); err != nil {
		cancel()
		peers.Close()
		return nil, err
	}
	n.mesh = peer.NewClient(peer.Options{
		Self:    n.Self,
		Addr:    replyAddr(peers.Addr()),
		TLS:     files,
		OnError: n.peerFailed,
	})
	return n, nil
}

// Start runs the life. Post may be called only afterwards.
func (n *Node) Start() error {
	var err error
	n.loop, err = loop.New(loop.Options{
		Reducer:   n.options.Reducer(n.Self, n.Invariants),
		Clock:     n.Clock,
		RunEffect: n.run,
		Tick:      n.options.Tick,
		OnPanic:   n.fail,
	})
	if err != nil {
		n.Close()
		return err
	}
	n.loop.Start()
	n.servePeers(n.peers)
	if err := n.serveOperators(); err != nil {
		n.Close()
		return err
	}
	n.follow()
	n.log.Info().Str("step", "start").Str("node", n.Self.String()).
		Str("peers", n.peers.Addr().String()).Msg("process started")
	return nil
}

// Post passes an event to the reducer.
func (n *Node) Post(ev core.Event) { n.loop.Post(ev) }

// Config returns the configuration in force, or nil.
func (n *Node) Config() *config.Set {
	if a := n.applied.Load(); a != nil {
		return a.Set
	}
	return nil
}

// Generation returns the generation in force, zero before the first.
func (n *Node) Generation() uint64 {
	if a := n.applied.Load(); a != nil {
		return a.Generation
	}
	return 0
}

// Mesh returns the node's side towards its peers.
func (n *Node) Mesh() *peer.Client { return n.mesh }

// replyAddr returns the address that peers may answer to before the VM list
// shows this VM; "" if the process listens on all addresses.
func replyAddr(addr net.Addr) string {
	at, err := netip.ParseAddrPort(addr.String())
	if err != nil || at.Addr().IsUnspecified() {
		return ""
	}
	return at.String()
}

// PeerAddr returns the address that peers use.
func (n *Node) PeerAddr() string { return n.peers.Addr().String() }

// OperatorAddr returns the address of the operators' port, or "".
func (n *Node) OperatorAddr() string { return n.operators }

// Log returns the node's logger.
func (n *Node) Log() *log.Logger { return n.log }

// TLS returns the node's certificate files, nil for plain text.
func (n *Node) TLS() *tlsfile.Files { return n.tls }

// Context is done when the node closes.
func (n *Node) Context() context.Context { return n.ctx }

// Drain begins a graceful shutdown.
func (n *Node) Drain() {
	n.log.Info().Str("step", "drain").Msg("graceful shutdown requested")
	n.Post(core.DrainRequested{})
}

// flushTimeout bounds the wait for the last messages of a life.
const flushTimeout = time.Second

// Flush waits until the messages sent so far were acknowledged or lost.
func (n *Node) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	n.mesh.Flush(ctx)
}

// Stopped is closed when the reducer reports that its shutdown is complete.
func (n *Node) Stopped() <-chan struct{} { return n.stopped }

// Fatal brings the error after which the process has to end.
func (n *Node) Fatal() <-chan error { return n.fatal }

// Close ends the life at once, as a crash would: sockets are closed and all
// state is lost.
func (n *Node) Close() {
	// Sockets go first, so that nothing is said to anybody any more.
	for _, s := range n.servers {
		s.Close()
	}
	n.cancel()
	n.peers.Close()
	n.mesh.Close()
	if n.loop != nil {
		n.loop.Stop()
	}
	n.running.Wait()
	if err := n.Events.Close(); err != nil {
		n.log.Warn().Str("step", "close").Err(err).Msg("the event log was not closed")
	}
}

func (n *Node) fail(err error) {
	n.log.Error().Str("step", "reduce").Err(err).Msg("the process has to end")
	select {
	case n.fatal <- err:
	default:
	}
}

func (n *Node) peerFailed(err error) {
	n.Metrics.PeerError()
	n.log.Debug().Str("step", "peer").Err(err).Msg("call to a peer failed")
}

// goRun runs fn until it returns; Close waits for it.
func (n *Node) goRun(fn func()) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		fn()
	}()
}

// sleep waits; it reports false when the node closes.
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
