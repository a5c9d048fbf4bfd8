// Package member runs one ledger member: its replica in an actor, its disk, its
// place in the membership and its connections.
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
	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/quorum"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/segment"
	"github.com/rhubarbsaddle/rhubarbsaddle/mailbox"
	"github.com/rhubarbsaddle/rhubarbsaddle/netopt"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// tickPeriod is the time between two ticks of the replica.
const tickPeriod = time.Second

// Options set up a Member.
type Options struct {
	// Name is the VM's name, Domain its failure domain.
	Name   string
	Domain string
	// Addr is the address to listen on, IP and port.
	Addr string
	// Dir is the folder of the member's disk.
	Dir string
	// FirstStart says that the whole system starts with empty disks.
	FirstStart bool
	// DisksLost is how many disks may be lost at the same time.
	DisksLost int
	Store     store.Store
	Directory *discovery.Directory
	// RetireKey is where operators ask that the VM be emptied, RetireStatus the
	// key and value that tell how far it is.
	RetireKey    string
	RetireStatus func(completed bool) (string, []byte)
	Log          *log.Logger
}

// Member is a running ledger member.
type Member struct {
	options Options
	log     *log.Logger
	disk    *segment.Log
	// identity marks the disk. After Open only keepSeat uses it.
	identity identity
	// seatedOnce says that this process has had a seat; retired that it gave it up
	// as operators asked. Only keepSeat uses them.
	seatedOnce, retired bool
	replica             *ledger.Replica
	box                 *mailbox.Mailbox
	commits             chan ledger.Write
	// broken takes the panic of the replica, after which the member has to end.
	broken chan error
	// peers stores records at all members, this one included, for entries.
	peers    *quorum.Client
	listener net.Listener
	ready    atomic.Bool
	stats    stats

	mu      sync.Mutex
	ticket  uint64
	answers map[uint64]func(*ledgerpb.Response)
}

// Open reads the member's disk and listens.
func Open(options Options) (*Member, error) {
	m := &Member{
		options: options, log: options.Log,
		commits: make(chan ledger.Write, maxCommits),
		broken:  make(chan error, 1),
		answers: make(map[uint64]func(*ledgerpb.Response)),
		// Members reach each other directly or not at all: an entry that finds one
		// cut off asks another.
		peers: quorum.NewClient(options.Domain, options.DisksLost, func() []string { return nil }),
	}
	if err := m.load(); err != nil {
		return nil, err
	}
	m.loadState()
	listener, err := netopt.ListenConfig().Listen(context.Background(), "tcp", options.Addr)
	if err != nil {
		return nil, &Error{Step: "listen", Peer: options.Addr, Err: err}
	}
	m.listener = listener
	m.box, err = mailbox.New(m.receive, func(err error) { m.broken <- err })
	if err != nil {
		return nil, errors.Join(&Error{Step: "start", Peer: options.Name, Err: err}, listener.Close())
	}
	return m, nil
}

// load reads the disk and makes the replica.
func (m *Member) load() error {
	var records []ledger.Loaded
	disk, damaged, err := segment.Open(filepath.Join(m.options.Dir, "segments"), func(at ledger.Location, payload []byte) error {
		rec := &ledgerpb.Record{}
		if err := proto.Unmarshal(payload, rec); err != nil {
			return err
		}
		if turn := rec.GetTurn(); turn != nil {
			// The replica only keeps where a turn's text lies.
			turn.Input, turn.Output = nil, nil
		}
		records = append(records, ledger.Loaded{Record: rec, Location: at})
		return nil
	})
	if err != nil {
		return err
	}
	m.disk = disk
	m.identity, err = readIdentity(m.options.Dir)
	if err != nil {
		return err
	}
	if m.identity.Member != m.options.Name {
		complete := m.options.FirstStart && len(records) == 0
		if err := m.mark(identity{Member: m.options.Name, Incarnation: rand.Uint64(), Complete: complete}); err != nil {
			return err
		}
	}
	complete := m.identity.Complete && !damaged
	m.replica = ledger.NewReplica(complete)
	m.ready.Store(complete)
	now := time.Now()
	for _, r := range records {
		m.replica.Step(r, now)
	}
	m.log.Info().Str("event", "disk_read").Int("records", len(records)).Bool("complete", complete).
		Bool("damaged", damaged).Uint64("incarnation", m.identity.Incarnation).Msg("")
	return nil
}

// mark changes the disk's identity.
func (m *Member) mark(id identity) error {
	if err := writeIdentity(m.options.Dir, id); err != nil {
		return err
	}
	m.identity = id
	return nil
}

// Run serves until ctx ends.
func (m *Member) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){m.commit, m.tick, m.keepSeat, m.watchOthers, m.catchUp, m.keepState} {
		loops.Go(func() { loop(ctx) })
	}
	var broken error
	loops.Go(func() {
		select {
		case <-ctx.Done():
		case broken = <-m.broken:
			cancel()
		}
		// Accept returns; a failure to close changes nothing.
		_ = m.listener.Close()
	})
	loops.Go(func() { m.followView(ctx) })
	err := m.accept(ctx)
	cancel()
	m.peers.Close()
	loops.Wait()
	m.box.Stop()
	return errors.Join(err, broken, m.disk.Close())
}

// followView tells the client of the peers the membership in force.
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

// accept serves the connections that come.
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
			ctxwait.For(ctx, acceptPause)
			continue
		}
		go m.serve(ctx, nc)
	}
}

// Ready says whether the member's answers count.
func (m *Member) Ready() bool { return m.ready.Load() }

func (m *Member) tick(ctx context.Context) {
	ctxwait.Every(ctx, tickPeriod, func(time.Time) { m.post(ledger.Tick{}) })
}

func (m *Member) post(ev ledger.Event) { m.box.Post(ev) }

// inspect reads the replica between two events.
func (m *Member) inspect(ctx context.Context, read func(*ledger.Replica)) error {
	return m.box.Inspect(ctx, func() { read(m.replica) })
}

// receive runs in the actor, which owns the replica.
func (m *Member) receive(msg any) {
	ev, ok := msg.(ledger.Event)
	if !ok {
		return
	}
	for _, effect := range m.replica.Step(ev, time.Now()) {
		m.run(effect)
	}
	m.stats.records.Store(int64(m.replica.Records()))
	m.stats.programs.Store(int64(m.replica.Programs()))
}

// run takes an effect of the replica. It runs in the actor and does not block on
// the disk.
func (m *Member) run(effect ledger.Effect) {
	switch e := effect.(type) {
	case ledger.Write:
		select {
		case m.commits <- e:
		default:
			// The disk hangs. Others make the quorum.
			m.reply(e.RequestID, &ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED})
		}
	case ledger.Reply:
		m.reply(e.RequestID, e.Response)
	case ledger.ReplyChain:
		go m.replyChain(e)
	case ledger.ReplyRecords:
		go m.replyRecords(e)
	case ledger.DropSegment:
		if err := m.disk.Drop(e.Segment); err != nil {
			m.log.Error().Str("event", "segment_kept").Err(err).Msg("")
		}
	}
}

// expect returns a ticket whose answer goes to answer.
func (m *Member) expect(answer func(*ledgerpb.Response)) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ticket++
	m.answers[m.ticket] = answer
	return m.ticket
}

func (m *Member) reply(ticket uint64, response *ledgerpb.Response) {
	m.mu.Lock()
	answer := m.answers[ticket]
	delete(m.answers, ticket)
	m.mu.Unlock()
	if answer != nil {
		answer(response)
	}
}
