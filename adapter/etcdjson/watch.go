package etcdjson

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// errSilent is the cause when a watch brought no message for too long.
var errSilent = errors.New("the watch went silent")

// Watch reports the changes of the keys with a prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, fn func([]core.StoreEntry)) error {
	op := operation{step: store.StepWatch, path: PathWatch, key: prefix}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	alive := func() {}
	if limit := c.options.WatchIdleTimeout; limit > 0 {
		timer := time.AfterFunc(limit, func() { cancel(errSilent) })
		defer timer.Stop()
		alive = func() { timer.Reset(limit) }
	}
	full := c.full(prefix)
	in := WatchRequest{Create: WatchCreate{
		Key:            full,
		RangeEnd:       PrefixEnd(full),
		StartRevision:  Int64(after + 1),
		ProgressNotify: true,
	}}
	resp, err := c.send(ctx, op, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return c.readWatch(ctx, op, resp.Body, alive, fn)
}

// readWatch reads the messages of a watch until it breaks. It calls alive for
// every message and fn for those with changes.
func (c *Client) readWatch(ctx context.Context, op operation, body io.Reader, alive func(), fn func([]core.StoreEntry)) error {
	decoder := json.NewDecoder(body)
	for {
		var m WatchResponse
		if err := decoder.Decode(&m); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			failure := c.fail(op, store.KindUnavailable, false, err)
			if ctx.Err() == nil || errors.Is(err, errSilent) {
				c.rotate()
			}
			return failure
		}
		if err := c.watchError(op, &m); err != nil {
			return err
		}
		alive()
		if len(m.Result.Events) > 0 {
			fn(c.changes(m.Result.Events))
		}
	}
}

// watchError returns the error that a message reports, if any.
func (c *Client) watchError(op operation, m *WatchResponse) error {
	switch {
	case m.Error != nil:
		return c.fail(op, kindOf(0, m.Error.Code), false, fmt.Errorf("%s", m.Error.Message))
	case m.Result.CompactRevision > 0:
		return c.fail(op, store.KindCompacted, false, fmt.Errorf("compacted up to revision %d", m.Result.CompactRevision))
	case m.Result.Canceled:
		return c.fail(op, store.KindUnavailable, false, errors.New("the service canceled the watch"))
	}
	return nil
}

// changes returns the changed keys as the reducers take them.
func (c *Client) changes(events []Event) []core.StoreEntry {
	entries := make([]core.StoreEntry, 0, len(events))
	for i := range events {
		e := c.entry(&events[i].KV)
		if events[i].Type == EventDelete {
			e.Value = nil
			e.Revision = 0
		}
		entries = append(entries, e)
	}
	return entries
}
