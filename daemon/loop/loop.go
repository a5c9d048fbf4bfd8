// Package loop runs one reducer in one actor: events come in through the
// actor's mailbox one at a time, and effects go to the shell in order.
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

// PanicError reports that the reducer panicked. The process has to end: its
// state can no longer be trusted, and a restart under the same incarnation
// would break promises that the state made.
type PanicError = mailbox.PanicError

// Options are the settings of a Loop.
type Options struct {
	Reducer core.Reducer
	Clock   *Clock
	// RunEffect takes an effect. It is called in the actor and must not block.
	RunEffect func(core.Effect)
	// Tick is the period of core.Tick; zero means DefaultTick.
	Tick time.Duration
	// OnPanic is told once of a panic of the reducer.
	OnPanic func(error)
}

// Loop is a running reducer.
type Loop struct {
	options Options
	box     *mailbox.Mailbox
	stop    chan struct{}
	once    sync.Once
}

// New returns a loop whose reducer has not taken any event. Post and Look may be
// called once Start was.
func New(options Options) (*Loop, error) {
	if options.Tick == 0 {
		options.Tick = DefaultTick
	}
	l := &Loop{options: options, stop: make(chan struct{})}
	box, err := mailbox.New(l.receive, options.OnPanic)
	if err != nil {
		return nil, err
	}
	l.box = box
	return l, nil
}

// Start starts the ticks. Effects may run from then on, so the owner must have
// kept the loop before.
func (l *Loop) Start() { go l.tick() }

// Post passes an event to the reducer. It never blocks.
func (l *Loop) Post(ev core.Event) { l.box.Post(ev) }

// Inspect calls read between two events, so that it may read the reducer's state.
// It returns the context's error if the loop does not come to it in time.
func (l *Loop) Inspect(ctx context.Context, read func()) error { return l.box.Inspect(ctx, read) }

// Stop ends the ticks and the actor.
func (l *Loop) Stop() {
	l.once.Do(func() {
		close(l.stop)
		l.box.Stop()
	})
}

func (l *Loop) receive(msg any) {
	if ev, ok := msg.(core.Event); ok {
		for _, eff := range l.options.Reducer.Step(ev, l.options.Clock.Now()) {
			l.options.RunEffect(eff)
		}
	}
}

func (l *Loop) tick() {
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
