// Package loop runs one reducer in one actor: events come in through the
// actor's mailbox one at a time, and effects go to the shell in order.
package loop

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// DefaultTick is the period of core.Tick events.
const DefaultTick = 10 * time.Millisecond

// PanicError reports that the reducer panicked. The process has to end: its
// state can no longer be trusted, and a restart under the same incarnation
// would break promises that the state made.
type PanicError struct{ Reason any }

// Error returns the panic's text.
func (e *PanicError) Error() string { return fmt.Sprintf("reducer: panic: %v", e.Reason) }

// Options are the settings of a Loop.
type Options struct {
	Reducer core.Reducer
	Clock   *Clock
	// Run takes an effect. It is called in the actor and must not block.
	Run func(core.Effect)
	// Tick is the period of core.Tick; zero means DefaultTick.
	Tick time.Duration
	// Fatal is told once of a panic of the reducer.
	Fatal func(error)
}

// Loop is a running reducer.
type Loop struct {
	options Options
	system  *actor.ActorSystem
	pid     *actor.PID
	stop    chan struct{}
	once    sync.Once
}

// look is a request to read the reducer's state between two events.
type look struct {
	read func()
	done chan struct{}
}

// New returns a loop whose reducer has not taken any event. Post and Look may be
// called once Start was.
func New(options Options) (*Loop, error) {
	if options.Tick == 0 {
		options.Tick = DefaultTick
	}
	quiet := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	l := &Loop{
		options: options,
		system:  actor.NewActorSystem(actor.WithLoggerFactory(quiet)),
		stop:    make(chan struct{}),
	}
	decide := func(reason any) actor.Directive {
		if options.Fatal != nil {
			go options.Fatal(&PanicError{Reason: reason})
		}
		return actor.StopDirective
	}
	props := actor.PropsFromFunc(l.receive, actor.WithGuardian(actor.NewOneForOneStrategy(0, 0, decide)))
	pid, err := l.system.Root.SpawnNamed(props, "reducer")
	if err != nil {
		return nil, fmt.Errorf("loop: spawn actor: %w", err)
	}
	l.pid = pid
	return l, nil
}

// Start starts the ticks. Effects may run from then on, so the owner must have
// kept the loop before.
func (l *Loop) Start() { go l.tick() }

// Post passes an event to the reducer. It never blocks.
func (l *Loop) Post(ev core.Event) { l.system.Root.Send(l.pid, ev) }

// Look calls read between two events, so that it may read the reducer's state.
// It returns the context's error if the loop does not come to it in time.
func (l *Loop) Look(ctx context.Context, read func()) error {
	request := &look{read: read, done: make(chan struct{})}
	l.system.Root.Send(l.pid, request)
	select {
	case <-request.done:
		return nil
	case <-l.stop:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop ends the ticks and the actor.
func (l *Loop) Stop() {
	l.once.Do(func() {
		close(l.stop)
		l.system.Root.Stop(l.pid)
		l.system.Shutdown()
	})
}

func (l *Loop) receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case core.Event:
		for _, eff := range l.options.Reducer.Step(msg, l.options.Clock.Now()) {
			l.options.Run(eff)
		}
	case *look:
		msg.read()
		close(msg.done)
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
