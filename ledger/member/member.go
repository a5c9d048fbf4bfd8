// Package member runs one ledger member: its replica (in an actor), its disk, its
// connections and its seat, which is the member's entry in the membership view.
package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/quorum"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/segment"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/mailbox"
	"github.com/rhubarbsaddle/rhubarbsaddle/netopt"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// tickPeriod is the time between two Tick events of the replica.
const tickPeriod = time.Second

// Options configure a Member.
type Options struct {
	// Name is the name of the VM, Domain its failure domain.
	Name   string
	Domain string
	// Addr is the address to listen on, IP and port.
	Addr string
	// Dir is the directory on the member's disk.
	Dir string
	// FirstStart means that all members start for the first time, with empty disks.
	FirstStart bool
	// DisksLost is how many disks may be lost at the same time without loss of records.
	DisksLost int
	// MemoryMB is the memory of the VM in megabytes; 0 if it is not known.
	MemoryMB int
	// IgnoreIndex makes the member read all records of its disk at its start, in place of
	// their index. It is for experiments.
	IgnoreIndex bool
	Store       store.Store
	Directory   *discovery.Directory
	// RetireKey is the store key that operators write to retire the VM. RetireStatus
	// returns the key and value with which the member reports its progress.
	RetireKey    string
	RetireStatus func(completed bool) (string, []byte)
	Log          *log.Logger
}

// Member is a running ledger member.
type Member struct {
	options Options
	log     *log.Logger
	disk    *segment.Log
	index   indexQueue
	// damages counts the damaged records that were found. The disk got a new incarnation for those
	// up to handledDamages.
	damages, handledDamages atomic.Uint64
	// identity identifies the disk. After Open only maintainSeat uses it. incarnation is that of
	// the identity.
	identity    identity
	incarnation atomic.Uint64
	// hadSeat means that this process has had a seat. retired means that its seat was
	// removed because operators retired the VM. Only maintainSeat uses these fields.
	hadSeat, retired bool
	// waitedVersion is the last view in which the retirement had to wait. Only maintainSeat uses it.
	waitedVersion uint64
	// seenVersion is the version of the view that this member has seen since seenSince. It does
	// not settle that view before settleAfter. Only maintainSeat uses these fields.
	seenVersion            uint64
	seenSince, settleAfter time.Time
	// removedHeard is when the member of the seat that was removed last responded under the view of
	// version removedVersion. Only maintainSeat uses these fields.
	removedVersion uint64
	removedHeard   time.Time
	// leave is closed by Leave, left once maintainSeat has ended.
	leave, left chan struct{}
	leaveOnce   sync.Once
	replica     *ledger.Replica
	mailbox     *mailbox.Mailbox
	commits     chan ledger.Write
	expiries    chan ledger.ExpiryDue
	// chains has the turns that the chains of appended turns lack.
	chains chan string
	// missed has a value if quorums may have stored records without this member.
	missed        chan struct{}
	repairLimiter *rate.Limiter
	// panicked receives the error if the replica panics; the member then has to stop.
	panicked chan error
	// peers is the client with which this member relays records for entries. It
	// sends them to all members, including this one.
	peers    *quorum.Client
	listener net.Listener
	ready    atomic.Bool
	stats    stats
	// relays are the appends that this member relays for entries, appends those that it
	// stores for its peers, reads the chains that it reads, awaits the requests for records that
	// other members forward.
	relays, appends, reads, awaits *backlog
	memory                         *memory

	loadMu sync.Mutex
	load   *loadboard.Board

	mu            sync.Mutex
	lastRequestID uint64
	pending       map[uint64]func(*ledgerpb.Response)
}

// Open reads the member's disk and starts to listen. The member accepts connections once
// Run is called.
func Open(options Options) (*Member, error) {
	m := &Member{
		options: options, log: options.Log,
		commits:  make(chan ledger.Write, maxCommits),
		expiries: make(chan ledger.ExpiryDue, 1), missed: make(chan struct{}, 1), chains: make(chan string, maxChains), repairLimiter: newRepairLimiter(),
		panicked: make(chan error, 1),
		pending:  make(map[uint64]func(*ledgerpb.Response)),
		load:     loadboard.New(),
		leave:    make(chan struct{}), left: make(chan struct{}),
		relays:  newBacklog(maxRelays, maxRelayBytes, relayTarget),
		appends: newBacklog(maxAppends, appendBytes(options.MemoryMB), 0),
		memory:  newMemory(options.MemoryMB),
		reads:   newBacklog(maxReads, 0, 0),
		awaits:  newBacklog(maxAwaits, 0, 0),
		// The list of tunnels is empty. A member needs none: if it cannot reach a
		// quorum, the entry that called it tries another member.
		peers: quorum.NewClient(options.Domain, options.DisksLost, func() []string { return nil }),
	}
	if err := m.loadDisk(); err != nil {
		return nil, err
	}
	m.loadState()
	listener, err := netopt.ListenConfig().Listen(context.Background(), "tcp", options.Addr)
	if err != nil {
		return nil, &Error{Step: "listen", Peer: options.Addr, Err: err}
	}
	m.listener = listener
	m.mailbox, err = mailbox.New(m.handleEvent, func(err error) { m.panicked <- err })
	if err != nil {
		return nil, errors.Join(&Error{Step: "start", Peer: options.Name, Err: err}, listener.Close())
	}
	return m, nil
}

// loadDisk reads the disk and creates the replica from its records.
func (m *Member) loadDisk() error {
	var err error
	if m.identity, err = readIdentity(m.options.Dir); err != nil {
		return err
	}
	m.replica = ledger.NewReplica(false)
	now, scanned := time.Now(), 0
	visitor := segment.Visitor{
		Frame: func(described segment.Range, content []byte) error { return m.loadFrame(described, content, now) },
		Record: func(at ledger.Location, payload []byte) error {
			scanned++
			return m.loadRecord(at, payload, now)
		},
	}
	if m.options.IgnoreIndex {
		visitor.Frame = nil
	}
	disk, damaged, err := segment.Open(filepath.Join(m.options.Dir, "segments"), visitor)
	if err != nil {
		return err
	}
	m.disk = disk
	records := m.replica.Records()
	if m.identity.Member != m.options.Name {
		complete := m.options.FirstStart && records == 0
		if err := m.setIdentity(identity{Member: m.options.Name, Incarnation: rand.Uint64(), Complete: complete}); err != nil {
			return err
		}
	}
	if damaged {
		// The damaged files are indexed anew, so the next start would not find the damage.
		if err := m.setIdentity(identity{Member: m.options.Name, Incarnation: rand.Uint64()}); err != nil {
			return err
		}
	}
	complete := m.identity.Complete
	m.incarnation.Store(m.identity.Incarnation)
	if complete {
		m.replica.Step(ledger.Recovered{}, now)
	}
	m.ready.Store(complete)
	m.log.Info().Str("event", "disk_read").Int("records", records).Int("scanned", scanned).Bool("complete", complete).
		Bool("damaged", damaged).Uint64("incarnation", m.identity.Incarnation).Msg("")
	return nil
}

// setIdentity writes the disk's identity.
func (m *Member) setIdentity(id identity) error {
	if err := writeIdentity(m.options.Dir, id); err != nil {
		return err
	}
	m.identity = id
	m.incarnation.Store(id.Incarnation)
	return nil
}

// intactIncarnation returns the incarnation of the disk, or 0 if it lacks records that it has
// acknowledged and its identity does not say so yet.
func (m *Member) intactIncarnation() uint64 {
	handled, incarnation := m.handledDamages.Load(), m.incarnation.Load()
	if m.damages.Load() != handled {
		return 0
	}
	return incarnation
}

// Run serves until ctx ends.
func (m *Member) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){m.commitWrites, m.tick, m.expirePrograms, m.repairMissed, m.copyChains, m.maintainSeat, m.removeUnresponsiveMembers, m.catchUp, m.persistState, m.writeIndex, m.verifyDisk, m.logBacklogs} {
		loops.Go(func() { loop(ctx) })
	}
	var panicErr error
	loops.Go(func() {
		select {
		case <-ctx.Done():
		case panicErr = <-m.panicked:
			cancel()
		}
		// This unblocks Accept; a failure to close changes nothing.
		_ = m.listener.Close()
	})
	loops.Go(func() { m.followView(ctx) })
	err := m.accept(ctx)
	cancel()
	m.peers.Close()
	loops.Wait()
	m.mailbox.Stop()
	return errors.Join(err, panicErr, m.disk.Close())
}

// followView passes each new view to m.peers until ctx ends.
func (m *Member) followView(ctx context.Context) {
	for ctx.Err() == nil {
		changed := m.options.Directory.Changed()
		m.peers.SetView(m.options.Directory.View())
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// accept accepts connections and serves each in its own goroutine.
func (m *Member) accept(ctx context.Context) error {
	for {
		nc, err := m.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return &Error{Step: "accept", Peer: m.options.Addr, Err: err}
		}
		if err != nil {
			m.log.Warn().Str("event", "accept_failed").Err(err).Msg("")
			ctxwait.Sleep(ctx, acceptRetryDelay)
			continue
		}
		go m.serve(ctx, nc)
	}
}

// Ready reports whether the member counts towards a quorum.
func (m *Member) Ready() bool { return m.ready.Load() }

// post queues an event of the replica, or a peerAppend.
func (m *Member) post(ev ledger.Event) { m.mailbox.Post(ev) }

// inspect calls read in the actor, between two events.
func (m *Member) inspect(ctx context.Context, read func(*ledger.Replica)) error {
	return m.mailbox.Inspect(ctx, func() { read(m.replica) })
}

// handleEvent passes one event to the replica and runs its effects. It runs in the actor,
// which owns the replica.
func (m *Member) handleEvent(msg any) {
	if request, ok := msg.(peerAppend); ok {
		if request.ctx.Err() != nil {
			// The peer has closed the connection. It sends the records again only if no quorum has
			// stored them.
			m.stats.abandoned.Add(1)
			m.signalMissed()
			m.reply(request.RequestID, &ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED})
			return
		}
		msg = request.AppendRequested
	}
	ev, ok := msg.(ledger.Event)
	if !ok {
		return
	}
	for _, effect := range m.replica.Step(ev, time.Now()) {
		m.runEffect(effect)
	}
	m.stats.records.Store(int64(m.replica.Records()))
	m.stats.programs.Store(int64(m.replica.Programs()))
}

// runEffect runs an effect of the replica. It runs in the actor, so it must not wait for
// writes to the disk.
func (m *Member) runEffect(effect ledger.Effect) {
	switch e := effect.(type) {
	case ledger.Write:
		select {
		case m.commits <- e:
		default:
			// The disk hangs, so the quorum has to come from the other members.
			m.post(ledger.Stored{RequestID: e.RequestID, Summaries: e.Summaries, Failed: true})
			m.signalMissed()
		}
	case ledger.Reply:
		m.reply(e.RequestID, e.Response)
	case ledger.ReplyChain:
		go m.replyChain(e)
	case ledger.ReplyRecords:
		go m.replyRecords(e)
	case ledger.ExpiryDue:
		select {
		case m.expiries <- e:
		default:
			// The other members are still being asked about earlier programs.
		}
	case ledger.ChainNeeded:
		select {
		case m.chains <- e.Turn:
		default:
			// The writer sends the turn again, which reports the chain again.
		}
	case ledger.DropSegment:
		if err := m.disk.Drop(e.Segment); err != nil {
			m.log.Error().Str("event", "segment_kept").Err(err).Msg("")
		}
	}
}

// newRequestID returns a new request ID. The response to that request is passed to
// respond.
func (m *Member) newRequestID(respond func(*ledgerpb.Response)) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastRequestID++
	m.pending[m.lastRequestID] = respond
	return m.lastRequestID
}

func (m *Member) reply(requestID uint64, response *ledgerpb.Response) {
	m.mu.Lock()
	respond := m.pending[requestID]
	delete(m.pending, requestID)
	m.mu.Unlock()
	if respond != nil {
		respond(response)
	}
}
