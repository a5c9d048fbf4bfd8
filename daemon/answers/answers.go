// Package answers keeps the answers of a sidecar's attempts while callers read
// them and until the reducer drops them.
package answers

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peer"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

const (
	// maxChunkBytes bounds the data of one message on a stream.
	maxChunkBytes = 256 << 10
	// maxDropped bounds the dropped attempts that are remembered, so that a late
	// reader is told at once.
	maxDropped = 16384
)

// Buffers holds the answers by attempt.
type Buffers struct {
	mu      sync.Mutex
	kept    map[core.AttemptID]*buffer
	dropped map[core.AttemptID]struct{}
	order   []core.AttemptID
}

// buffer is one answer. changed is closed and replaced on every change.
type buffer struct {
	data    []byte
	done    bool
	dropped bool
	readers int
	written bool
	changed chan struct{}
}

// New returns empty buffers.
func New() *Buffers {
	return &Buffers{
		kept:    make(map[core.AttemptID]*buffer),
		dropped: make(map[core.AttemptID]struct{}),
	}
}

// Append adds data to an answer.
func (b *Buffers) Append(id core.AttemptID, data []byte) {
	b.update(id, func(buf *buffer) { buf.data = append(buf.data, data...) })
}

// Finish marks an answer as whole.
func (b *Buffers) Finish(id core.AttemptID) {
	b.update(id, func(buf *buffer) { buf.done = true })
}

// Drop releases an answer. Readers that have not read all of it are refused.
func (b *Buffers) Drop(id core.AttemptID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if buf := b.kept[id]; buf != nil {
		buf.dropped = true
		buf.data = nil
		buf.wake()
		delete(b.kept, id)
	}
	b.remember(id)
}

// Bytes returns a copy-free view of a finished answer.
func (b *Buffers) Bytes(id core.AttemptID) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if buf := b.kept[id]; buf != nil {
		return buf.data[:len(buf.data):len(buf.data)]
	}
	return nil
}

// Size returns the number of answers and their bytes.
func (b *Buffers) Size() (count int, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, buf := range b.kept {
		bytes += len(buf.data)
	}
	return len(b.kept), bytes
}

// ActiveReaders returns the number of readers that have not come to the end.
func (b *Buffers) ActiveReaders() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, buf := range b.kept {
		n += buf.readers
	}
	return n
}

func (b *Buffers) update(id core.AttemptID, change func(*buffer)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, gone := b.dropped[id]; gone {
		return
	}
	buf := b.get(id)
	buf.written = true
	change(buf)
	buf.wake()
}

func (b *Buffers) get(id core.AttemptID) *buffer {
	buf := b.kept[id]
	if buf == nil {
		buf = &buffer{changed: make(chan struct{})}
		b.kept[id] = buf
	}
	return buf
}

func (b *Buffers) remember(id core.AttemptID) {
	if _, known := b.dropped[id]; known {
		return
	}
	if len(b.order) >= maxDropped {
		delete(b.dropped, b.order[0])
		b.order = b.order[1:]
	}
	b.dropped[id] = struct{}{}
	b.order = append(b.order, id)
}

func (buf *buffer) wake() {
	close(buf.changed)
	buf.changed = make(chan struct{})
}

// errDropped answers readers of a dropped answer.
var errDropped = connect.NewError(connect.CodeNotFound, errors.New("the answer was dropped"))

// Serve sends an answer from offset on, with heartbeats while there is nothing
// to send. An attempt that is not known yet may still arrive.
func (b *Buffers) Serve(ctx context.Context, id core.AttemptID, offset uint64, send func(*peerpb.AttachResponse) error) error {
	buf, err := b.open(id)
	if err != nil {
		return err
	}
	defer b.release(id, buf)
	beat := time.NewTicker(peer.HeartbeatPeriod)
	defer beat.Stop()
	for {
		data, end, changed, err := b.next(buf, offset)
		if err != nil {
			return err
		}
		if len(data) > 0 || end {
			resp := &peerpb.AttachResponse{Offset: offset, Data: data, End: end}
			offset += uint64(len(data))
			if end {
				resp.Length = offset
			}
			if err := send(resp); err != nil || end {
				return err
			}
			continue
		}
		select {
		case <-changed:
		case <-beat.C:
			if err := send(&peerpb.AttachResponse{Offset: offset, Heartbeat: true}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *Buffers) open(id core.AttemptID) (*buffer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, gone := b.dropped[id]; gone {
		return nil, errDropped
	}
	buf := b.get(id)
	buf.readers++
	return buf, nil
}

// release forgets an answer that was asked for and never written.
func (b *Buffers) release(id core.AttemptID, buf *buffer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	buf.readers--
	if buf.readers == 0 && !buf.written && b.kept[id] == buf {
		delete(b.kept, id)
	}
}

// next returns the data after offset, whether the answer ends with it, and the
// channel that is closed by the next change.
func (b *Buffers) next(buf *buffer, offset uint64) (data []byte, end bool, changed chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if buf.dropped {
		return nil, false, nil, errDropped
	}
	if offset > uint64(len(buf.data)) {
		if buf.done {
			return nil, false, nil, connect.NewError(connect.CodeOutOfRange, errors.New("offset is beyond the end"))
		}
		return nil, false, buf.changed, nil
	}
	data = buf.data[offset:]
	if len(data) > maxChunkBytes {
		data = data[:maxChunkBytes]
	}
	end = buf.done && offset+uint64(len(data)) == uint64(len(buf.data))
	return data[:len(data):len(data)], end, buf.changed, nil
}

var _ peer.Answers = (*Buffers)(nil)
