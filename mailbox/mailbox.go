// Package mailbox runs a function over messages in an actor, one message at a
// time.
package mailbox

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"github.com/asynkron/protoactor-go/actor"
)

// PanicError reports that the function panicked. The process has to end: the state
// that the function keeps can no longer be trusted.
type PanicError struct{ Reason any }

// Error returns the panic's text.
func (e *PanicError) Error() string { return fmt.Sprintf("actor: panic: %v", e.Reason) }

// Mailbox is a running actor.
type Mailbox struct {
	receive func(msg any)
	system  *actor.ActorSystem
	pid     *actor.PID
	stopped chan struct{}
	once    sync.Once
}

// look is a request to read the function's state between two messages.
type look struct {
	read func()
	done chan struct{}
}

// New starts an actor that passes each message to receive. Fatal, which may be nil,
// is told of a panic, after which the actor takes no more messages.
func New(receive func(msg any), fatal func(error)) (*Mailbox, error) {
	quiet := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	m := &Mailbox{
		receive: receive,
		system:  actor.NewActorSystem(actor.WithLoggerFactory(quiet)),
		stopped: make(chan struct{}),
	}
	decide := func(reason any) actor.Directive {
		if fatal != nil {
			go fatal(&PanicError{Reason: reason})
		}
		return actor.StopDirective
	}
	props := actor.PropsFromFunc(m.take, actor.WithGuardian(actor.NewOneForOneStrategy(0, 0, decide)))
	pid, err := m.system.Root.SpawnNamed(props, "mailbox")
	if err != nil {
		return nil, fmt.Errorf("mailbox: spawn actor: %w", err)
	}
	m.pid = pid
	return m, nil
}

func (m *Mailbox) take(c actor.Context) {
	switch msg := c.Message().(type) {
	case actor.SystemMessage, actor.AutoReceiveMessage:
		// The actor's own life concerns nobody else.
	case *look:
		msg.read()
		close(msg.done)
	default:
		m.receive(msg)
	}
}

// Post passes a message on. It never blocks.
func (m *Mailbox) Post(msg any) { m.system.Root.Send(m.pid, msg) }

// Inspect calls read between two messages. It returns the context's error if the actor
// does not come to it in time.
func (m *Mailbox) Inspect(ctx context.Context, read func()) error {
	request := &look{read: read, done: make(chan struct{})}
	m.system.Root.Send(m.pid, request)
	select {
	case <-request.done:
		return nil
	case <-m.stopped:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop ends the actor.
func (m *Mailbox) Stop() {
	m.once.Do(func() {
		close(m.stopped)
		m.system.Root.Stop(m.pid)
		m.system.Shutdown()
	})
}
