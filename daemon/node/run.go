package node

import (
	"context"
	"time"
)

// Daemon is one incarnation of an entry or a sidecar: a node and the parts that are
// specific to its role.
type Daemon interface {
	// Close stops the daemon abruptly, like a crash.
	Close()
	// Drain shuts down gracefully. It returns an error if ctx ends before that.
	Drain(ctx context.Context) error
}

// RunDaemon serves until ctx is done or an operator requests a drain, then shuts down
// gracefully. After a fatal error it closes the daemon at once and returns the error.
func (n *Node) RunDaemon(ctx context.Context, daemon Daemon, drainTimeout time.Duration) error {
	select {
	case err := <-n.Fatal():
		daemon.Close()
		return err
	case <-ctx.Done():
	case <-n.Stopped():
	}
	bounded, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return daemon.Drain(bounded)
}

// DrainAndWait requests a graceful shutdown of the reducer and waits for its end.
func (n *Node) DrainAndWait(ctx context.Context) error {
	n.Drain()
	select {
	case <-n.Stopped():
		return nil
	case <-ctx.Done():
		return &StepError{Step: "drain", Peer: n.Self.String(), Err: ctx.Err()}
	}
}
