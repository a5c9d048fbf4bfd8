package etcdjson

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// errLeaseEnded is the cause when a lease has ended.
var errLeaseEnded = errors.New("the lease has ended")

// Grant starts a lease. The time to live is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	op := operation{step: store.StepGrant, path: PathGrant, writes: true}
	seconds := (ttl + time.Second - 1) / time.Second
	var out GrantResponse
	if err := c.call(ctx, op, GrantRequest{TTL: Int64(seconds)}, &out); err != nil {
		return 0, err
	}
	return store.LeaseID(out.ID), nil
}

// KeepAlive renews a lease for its full time to live.
func (c *Client) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	op := operation{step: store.StepKeepAlive, path: PathKeepAlive}
	var out KeepAliveResponse
	if err := c.call(ctx, op, LeaseRequest{ID: Int64(lease)}, &out); err != nil {
		return err
	}
	if out.Result.TTL <= 0 {
		return c.newError(op, store.KindLeaseLost, false, errLeaseEnded)
	}
	return nil
}

// Revoke ends a lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, lease store.LeaseID) error {
	op := operation{step: store.StepRevoke, path: PathRevoke, writes: true}
	var out RevokeResponse
	return c.call(ctx, op, LeaseRequest{ID: Int64(lease)}, &out)
}
