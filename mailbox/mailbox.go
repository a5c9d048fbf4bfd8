// Package mailbox runs an actor that passes messages to a function, one at a time.
package mailbox

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"github.com/asynkron/protoactor-go/actor"
)

// PanicError reports that the receiving function panicked. The process has to exit,
// because the function's state can no longer be trusted.
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

// inspection is a request to call read between two messages.
type inspection struct {
	read func()
	done chan struct{}
}

// New starts an actor that passes each message to receive. OnPanic, which may be nil, is
// called from another goroutine after a panic; the actor then handles no more messages.
func New(receive func(msg any), onPanic func(error)) (*Mailbox, error) {
	discardLogs := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	m := &Mailbox{
		receive: receive,
		system:  actor.NewActorSystem(actor.WithLoggerFactory(discardLogs)),
		stopped: make(chan struct{}),
	}
	decide := func(reason any) actor.Directive {
		if onPanic != nil {
			go onPanic(&PanicError{Reason: reason})
		}
		return actor.StopDirective
	}
	props := actor.PropsFromFunc(m.handle, actor.WithGuardian(actor.NewOneForOneStrategy(0, 0, decide)))
	pid, err := m.system.Root.SpawnNamed(props, "mailbox")
	if err != nil {
		return nil, fmt.Errorf("mailbox: spawn actor: %w", err)
	}
	m.pid = pid
	return m, nil
}

func (m *Mailbox) handle(c actor.Context) {
	switch msg := c.Message().(type) {
	case actor.SystemMessage, actor.AutoReceiveMessage:
		// Lifecycle messages of the actor are ignored.
	case *inspection:
		msg.read()
		close(msg.done)
	default:
		m.receive(msg)
	}
}

// Post queues a message. It never blocks.
func (m *Mailbox) Post(msg any) { m.system.Root.Send(m.pid, msg) }

// Inspect calls read in the actor, between two messages, and waits for it. It returns the
// context's error if ctx ends first, and context.Canceled if the mailbox is stopped. After
// an error, read may still be called later.
func (m *Mailbox) Inspect(ctx context.Context, read func()) error {
	request := &inspection{read: read, done: make(chan struct{})}
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

// Stop stops the actor. Later calls do nothing.
func (m *Mailbox) Stop() {
	m.once.Do(func() {
		close(m.stopped)
		m.system.Root.Stop(m.pid)
		m.system.Shutdown()
	})
}
