// Package store defines the interface to the platform's key-value service.
// Package adapter/etcdjson implements it.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// LeaseID identifies a lease; zero means none.
type LeaseID int64

// CompareAndSwapRequest is a write of one key that takes effect only if the key
// has the expected revision.
type CompareAndSwapRequest struct {
	Key string
	// Revision is the expected revision; zero means that the key must be absent.
	Revision int64
	Value    []byte
	// Delete removes the key instead of writing Value.
	Delete bool
	// Lease is the lease to which the key is attached: the key is removed when the
	// lease ends. Zero means none.
	Lease LeaseID
}

// CompareAndSwapResult is the result of a compare-and-swap.
type CompareAndSwapResult struct {
	// Swapped is true if the write took effect.
	Swapped bool
	// Current is the state of the key after the operation, also if the write did
	// not take effect.
	Current core.StoreRecord
}

// Store is a client for the key-value service. Its methods are safe for
// concurrent use and return errors of type *Error. An absent key has revision
// zero.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (core.StoreRecord, error)
	// Range reads all keys that begin with prefix, in order. It also returns a revision:
	// all changes up to it are included, and a Watch after it misses no later one. Records
	// may be newer than that revision.
	Range(ctx context.Context, prefix string) ([]core.StoreRecord, int64, error)
	// CompareAndSwap writes a key if it has the expected revision. If an error has
	// Unknown set, the write may have taken effect.
	CompareAndSwap(ctx context.Context, swap CompareAndSwapRequest) (CompareAndSwapResult, error)
	// Grant starts a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full time to live.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch calls fn with the keys that begin with prefix and have changed since the
	// given revision, and with the revision up to which fn has got all changes. It returns
	// when ctx is done or the connection is lost. A removed key is reported with a nil
	// value and the revision of its removal, or with revision zero if the service does not
	// report that revision.
	Watch(ctx context.Context, prefix string, after int64, fn func(changes []core.StoreRecord, revision int64)) error
}

// Step names the operation that failed.
type Step string

// Steps of the operations of the key-value service.
const (
	StepGet            Step = "get"
	StepRange          Step = "range"
	StepCompareAndSwap Step = "swap"
	StepGrant          Step = "grant_lease"
	StepKeepAlive      Step = "keep_lease_alive"
	StepRevoke         Step = "revoke_lease"
	StepWatch          Step = "watch"
)

// Kind classifies errors by how they must be handled.
type Kind uint8

// Kinds of error.
const (
	// KindUnavailable means that the service is unreachable or has an outage.
	KindUnavailable Kind = iota
	// KindRateLimited means that the service's rate limit is exceeded.
	KindRateLimited
	// KindRejected means that the service will never accept the request.
	KindRejected
	// KindLeaseLost means that the lease has ended.
	KindLeaseLost
	// KindCompacted means that the service no longer has the requested changes; the
	// keys must be read again.
	KindCompacted
)

// String returns the kind as it is written to logs and metrics.
func (k Kind) String() string {
	return [...]string{"unavailable", "rate_limited", "rejected", "lease_lost", "compacted"}[k]
}

// Error is a failure of an operation at the key-value service.
type Error struct {
	Step Step
	// Peer is the address of the endpoint.
	Peer string
	// Key is the key or prefix of the operation, or "".
	Key  string
	Kind Kind
	// Unknown means that a write may have taken effect despite the error.
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
