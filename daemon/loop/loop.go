// Package loop runs a reducer in an actor. The actor handles the events in its
// mailbox one at a time and passes the effects to the runtime in order.
package loop

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/mailbox"
)

// DefaultTick is the period of core.Tick events.
const DefaultTick = 10 * time.Millisecond

// PanicError reports that the reducer panicked. The process must exit: its state is
// unreliable, and a new state under the same incarnation would break the promises
// that the old one has made.
type PanicError = mailbox.PanicError

// Options configures a Loop.
type Options struct {
	Reducer core.Reducer
	Clock   *Clock
	// RunEffect runs one effect. It is called in the actor and must not block.
	RunEffect func(core.Effect)
	// Tick is the period of core.Tick; zero means DefaultTick.
	Tick time.Duration
	// OnPanic is called once if the reducer panics.
	OnPanic func(error)
}

// Loop is a running reducer.
type Loop struct {
	options  Options
	mailbox  *mailbox.Mailbox
	stop     chan struct{}
	stopOnce sync.Once
}

// New returns a loop that has not started. Post and Inspect may be called after
// Start.
func New(options Options) (*Loop, error) {
	if options.Tick == 0 {
		options.Tick = DefaultTick
	}
	l := &Loop{options: options, stop: make(chan struct{})}
	mb, err := mailbox.New(l.receive, options.OnPanic)
	if err != nil {
		return nil, err
	}
	l.mailbox = mb
	return l, nil
}

// Start starts the ticks. Effects may run from then on, so the caller must already have
// stored the loop where the effects need it.
func (l *Loop) Start() { go l.runTicker() }

// Post queues an event for the reducer. It never blocks.
func (l *Loop) Post(ev core.Event) { l.mailbox.Post(ev) }

// Inspect calls read between two events, so that read may access the reducer's state.
// It returns the context's error if ctx ends before that.
func (l *Loop) Inspect(ctx context.Context, read func()) error { return l.mailbox.Inspect(ctx, read) }

// Stop stops the ticks and the actor.
func (l *Loop) Stop() {
	l.stopOnce.Do(func() {
		close(l.stop)
		l.mailbox.Stop()
	})
}

func (l *Loop) receive(msg any) {
	if ev, ok := msg.(core.Event); ok {
		for _, eff := range l.options.Reducer.Step(ev, l.options.Clock.Now()) {
			l.options.RunEffect(eff)
		}
	}
}

func (l *Loop) runTicker() {
	ticker := time.NewTicker(l.options.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
			l.Post(core.Tick{})
		}
	}
}
