package node

import (
	"context"
	"time"
)

// Daemon is one life of a daemon: a node with what its role adds.
type Daemon interface {
	// Close ends the life at once, as a crash would.
	Close()
	// Drain shuts down gracefully, within ctx.
	Drain(ctx context.Context) error
}

// RunDaemon serves until ctx is done and shuts down gracefully then, or until the
// process cannot go on. An operator's drain request ends it as well.
func (n *Node) RunDaemon(ctx context.Context, life Daemon, drainTimeout time.Duration) error {
	select {
	case err := <-n.Fatal():
		life.Close()
		return err
	case <-ctx.Done():
	case <-n.Stopped():
	}
	bounded, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return life.Drain(bounded)
}

// DrainAndWait asks the reducer to shut down and waits until it has.
func (n *Node) DrainAndWait(ctx context.Context) error {
	n.Drain()
	select {
	case <-n.Stopped():
		return nil
	case <-ctx.Done():
		return &StepError{Step: "drain", Peer: n.Self.String(), Err: ctx.Err()}
	}
}
