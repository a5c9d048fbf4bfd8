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

// DefaultDrainTimeout bounds a graceful shutdown, in which the longest call must be
// able to finish.
const DefaultDrainTimeout = 10 * time.Minute

// readerPollPeriod is the time between two checks for answers that are still being read.
const readerPollPeriod = 20 * time.Millisecond

// Options configures a sidecar daemon.
type Options struct {
	Settings config.Node
	Store    store.Store
	VMs      vmlist.Source
	// Target executes the attempts.
	Target engine.Target
	Log    *log.Logger
	// Tick is the period of the reducer's ticks; zero means the default.
	Tick time.Duration
}

// Daemon is one incarnation of a sidecar.
type Daemon struct {
	node    *node.Node
	reducer *reducer.Sidecar
	target  engine.Target
	buffers *answers.Buffers
	history *historyReplicator

	mu      sync.Mutex
	cancels map[core.AttemptID]context.CancelFunc
}

// Start starts a sidecar, which serves until Close or Drain.
func Start(options Options) (*Daemon, error) {
	replicator, err := openHistoryReplicator(options.Settings.VM, options.Settings.Data)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		history: replicator,
		target:  options.Target,
		buffers: answers.New(),
		cancels: make(map[core.AttemptID]context.CancelFunc),
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
		// A deployment has too many sidecars for all of them to read from the key-value
		// service.
		ConfigFromPeers: true,
	})
	if err != nil {
		return nil, err
	}
	d.node = n
	d.history.node = n
	if err := n.Start(); err != nil {
		replicator.store.Close()
		return nil, err
	}
	go d.pollLoad()
	go d.followCacheEvents()
	return d, nil
}

// Node returns the part of the runtime that all roles share.
func (d *Daemon) Node() *node.Node { return d.node }

// Close stops the daemon abruptly, like a crash. Afterwards nothing is written to the data
// directory any more.
func (d *Daemon) Close() {
	d.node.Close()
	d.history.store.Close()
}

// Drain shuts down gracefully: it waits until the attempts at the target have ended
// and their results are acknowledged, copies the stored conversations to other
// sidecars, and waits until all readers have reached the end of their answers. It
// returns an error if ctx ends before that.
func (d *Daemon) Drain(ctx context.Context) error {
	defer d.Close()
	if err := d.node.DrainAndWait(ctx); err != nil {
		return err
	}
	d.history.handOver(ctx)
	for d.buffers.ActiveReaders() > 0 {
		select {
		case <-time.After(readerPollPeriod):
		case <-ctx.Done():
			return &node.StepError{Step: "drain answers of", Peer: d.node.Self.String(), Err: ctx.Err()}
		}
	}
	d.node.Flush(ctx)
	return nil
}

// Run serves until ctx is done or an operator requests a drain, then shuts down
// gracefully. It returns at once if the process can't continue.
func (d *Daemon) Run(ctx context.Context, drainTimeout time.Duration) error {
	return d.node.RunDaemon(ctx, d, drainTimeout)
}

// run runs the effects of the sidecar role. It must not block.
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
