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

// errIdleTimeout is the cause when a watch received no message within
// Options.WatchIdleTimeout.
var errIdleTimeout = errors.New("the watch's idle timeout expired")

// Watch calls fn with the keys that begin with prefix and have changed since the
// given revision. It returns when ctx is done or the connection is lost, always
// with an error. A removed key is reported with revision zero.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, fn func(changes []core.StoreRecord, revision int64)) error {
	op := operation{step: store.StepWatch, path: PathWatch, key: prefix}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	onMessage := func() {}
	if limit := c.options.WatchIdleTimeout; limit > 0 {
		timer := time.AfterFunc(limit, func() { cancel(errIdleTimeout) })
		defer timer.Stop()
		onMessage = func() { timer.Reset(limit) }
	}
	fullKey := c.fullKey(prefix)
	in := WatchRequest{Create: WatchCreate{
		Key:            fullKey,
		RangeEnd:       PrefixEnd(fullKey),
		StartRevision:  Int64(after + 1),
		ProgressNotify: true,
	}}
	resp, err := c.send(ctx, op, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return c.readWatch(ctx, op, resp.Body, onMessage, fn)
}

// readWatch reads the messages of a watch until reading fails. It calls onMessage
// for every message, and fn with the changes of messages that contain any.
func (c *Client) readWatch(ctx context.Context, op operation, body io.Reader, onMessage func(), fn func([]core.StoreRecord, int64)) error {
	decoder := json.NewDecoder(body)
	for {
		var m WatchResponse
		if err := decoder.Decode(&m); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			watchErr := c.newError(op, store.KindUnavailable, false, err)
			if ctx.Err() == nil || errors.Is(err, errIdleTimeout) {
				c.switchEndpoint()
			}
			return watchErr
		}
		if err := c.watchError(op, &m); err != nil {
			return err
		}
		onMessage()
		if len(m.Result.Events) > 0 {
			// Events are in the order of their revisions, and those of one revision in one message.
			last := m.Result.Events[len(m.Result.Events)-1].KV
			fn(c.changes(m.Result.Events), int64(last.ModRevision))
		}
	}
}

// watchError returns the error that a message reports, if any.
func (c *Client) watchError(op operation, m *WatchResponse) error {
	switch {
	case m.Error != nil:
		return c.newError(op, kindOf(0, m.Error.Code), false, fmt.Errorf("%s", m.Error.Message))
	case m.Result.CompactRevision > 0:
		return c.newError(op, store.KindCompacted, false, fmt.Errorf("compacted up to revision %d", m.Result.CompactRevision))
	case m.Result.Canceled:
		return c.newError(op, store.KindUnavailable, false, errors.New("the service canceled the watch"))
	}
	return nil
}

// changes converts the changed keys of a watch message.
func (c *Client) changes(events []Event) []core.StoreRecord {
	records := make([]core.StoreRecord, 0, len(events))
	for i := range events {
		record := c.toStoreRecord(&events[i].KV)
		if events[i].Type == EventDelete {
			record.Value = nil
			record.Revision = 0
		}
		records = append(records, record)
	}
	return records
}
