// Package store is the port to the platform's key-value service. Package
// adapter/etcdjson is its adapter.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// LeaseID identifies a lease; zero means none.
type LeaseID int64

// Swap is a write that takes effect only if the key's revision is the expected
// one.
type Swap struct {
	Key string
	// Revision is the expected revision; zero means that the key is absent.
	Revision int64
	Value    []byte
	// Delete removes the key in place of writing Value.
	Delete bool
	// Lease removes the key when it ends; zero means none.
	Lease LeaseID
}

// SwapResult answers a Swap.
type SwapResult struct {
	Swapped bool
	// Current is the key as it is after the swap, whether it took effect or not.
	Current core.StoreEntry
}

// Store is the key-value service. Its methods are safe for concurrent use and
// return errors of type *Error. An absent key has the revision zero.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (core.StoreEntry, error)
	// Range reads all keys with a prefix, in order, and the revision of the whole
	// store at that instant, from which a watch can go on.
	Range(ctx context.Context, prefix string) ([]core.StoreEntry, int64, error)
	// CompareAndSwap writes a key if its revision is the expected one. After an error with
	// Unknown the write may have taken effect.
	CompareAndSwap(ctx context.Context, swap Swap) (SwapResult, error)
	// Grant starts a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive starts a lease's time anew.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch calls fn with the changes of the keys with a prefix after a revision,
	// until ctx is done or the connection breaks. A removed key has a nil value
	// and the revision of its removal, or zero if the service does not tell it.
	Watch(ctx context.Context, prefix string, after int64, fn func([]core.StoreEntry)) error
}

// Step names the operation in which an error arose.
type Step string

// Steps at the key-value service.
const (
	StepGet       Step = "get"
	StepRange     Step = "range"
	StepSwap      Step = "swap"
	StepGrant     Step = "grant_lease"
	StepKeepAlive Step = "keep_lease_alive"
	StepRevoke    Step = "revoke_lease"
	StepWatch     Step = "watch"
)

// Kind tells errors apart for those who handle them.
type Kind uint8

// Kinds of error.
const (
	// KindUnavailable means that the service cannot be reached or has an outage.
	KindUnavailable Kind = iota
	// KindRateLimited means that the service's rate of calls is used up.
	KindRateLimited
	// KindRejected means that the service will never accept the request.
	KindRejected
	// KindLeaseLost means that the lease has ended.
	KindLeaseLost
	// KindCompacted means that the service has forgotten the changes asked for;
	// the keys must be read again.
	KindCompacted
)

// String returns the kind as it stands in logs and metrics.
func (k Kind) String() string {
	return [...]string{"unavailable", "rate_limited", "rejected", "lease_lost", "compacted"}[k]
}

// Error is a failure of an operation at the key-value service.
type Error struct {
	Step Step
	// Peer is the endpoint's address.
	Peer string
	// Key is the key or prefix of the operation, or "".
	Key  string
	Kind Kind
	// Unknown means that a write may have taken effect all the same.
	Unknown bool
	Err     error
}

// Error returns the step, the peer, the key and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s at key-value service %s: %s", e.Step, e.Peer, e.Kind)
	if e.Key != "" {
		text += fmt.Sprintf(": key %q", e.Key)
	}
	if e.Unknown {
		text += ": the write may have taken effect"
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
