package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/vmlist"
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	reducer "github.com/rhubarbsaddle/rhubarbsaddle/core/sidecar"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/answers"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/node"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// DefaultDrainTimeout bounds a graceful shutdown: the longest call has to end.
const DefaultDrainTimeout = 10 * time.Minute

// unreadPause is the time between two looks at the answers still being read.
const unreadPause = 20 * time.Millisecond

// Options are the settings of a sidecar daemon.
type Options struct {
	Settings config.Node
	Store    store.Store
	VMs      vmlist.Source
	// Target is what the sidecar stands beside.
	Target engine.Target
	Log    *log.Logger
	// Tick is the period of the reducer's ticks; zero means the default.
	Tick time.Duration
}

// Daemon is one life of a sidecar.
type Daemon struct {
	node    *node.Node
	reducer *reducer.Sidecar
	target  engine.Target
	buffers *answers.Buffers
	history *keeper

	mu   sync.Mutex
	runs map[core.AttemptID]context.CancelFunc
}

// Start begins a life and serves until Close or Drain.
func Start(options Options) (*Daemon, error) {
	kept, err := openKeeper(options.Settings.VM, options.Settings.Data)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		history: kept,
		target:  options.Target,
		buffers: answers.New(),
		runs:    make(map[core.AttemptID]context.CancelFunc),
	}
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
				Pool:       core.Pool(options.Settings.Target.Pool),
				Seed:       uint64(self.Inc),
				Invariants: invariants,
			})
			return d.reducer
		},
		RunEffect: d.run,
		Status:    func() any { return d.reducer.Status() },
		Answers:   d.buffers,
		History:   d.history,
		// A deployment has many more sidecars than the key-value service has
		// reads for.
		ConfigFromPeers: true,
	})
	if err != nil {
		return nil, err
	}
	d.node = n
	d.history.node = n
	if err := n.Start(); err != nil {
		return nil, err
	}
	go d.followLoad()
	go d.followCache()
	return d, nil
}

// Node returns the shared shell.
func (d *Daemon) Node() *node.Node { return d.node }

// Close ends the life at once, as a crash would.
func (d *Daemon) Close() { d.node.Close() }

// Drain shuts down gracefully: attempts at the target end, their results are
// acknowledged, and the answers being read are read to their end.
func (d *Daemon) Drain(ctx context.Context) error {
	defer d.node.Close()
	if err := d.node.DrainAndWait(ctx); err != nil {
		return err
	}
	d.history.handOver(ctx)
	for d.buffers.ActiveReaders() > 0 {
		select {
		case <-time.After(unreadPause):
		case <-ctx.Done():
			return &node.StepError{Step: "drain answers of", Peer: d.node.Self.String(), Err: ctx.Err()}
		}
	}
	d.node.Flush(ctx)
	return nil
}

// Run serves until ctx is done and shuts down gracefully then, or until the
// process cannot go on. An operator's drain request ends it as well.
func (d *Daemon) Run(ctx context.Context, drainTimeout time.Duration) error {
	return d.node.RunDaemon(ctx, d, drainTimeout)
}

// run takes the effects of the role. It must not block.
func (d *Daemon) run(eff core.Effect) {
	switch e := eff.(type) {
	case core.StartTarget:
		d.startAttempt(e)
	case core.AbortTarget:
		d.abortAttempt(e.Attempt)
	case core.DropAnswer:
		d.buffers.Drop(e.Attempt)
	case core.ReleaseCache:
		go d.releaseCache(e)
	case core.ReleaseHistory:
		go d.history.release(e)
	case core.ListCache:
		go d.listCache()
	}
}
