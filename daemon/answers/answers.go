// Package answers buffers the answers of a sidecar's attempts until the reducer drops
// them, and streams them to ingress entries.
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
	// maxChunkBytes bounds the data in one message of a stream.
	maxChunkBytes = 256 << 10
	// maxDroppedIDs bounds the stored IDs of dropped answers. A late reader of an
	// answer whose ID is stored gets an error at once.
	maxDroppedIDs = 16384
)

// Buffers holds the answers by attempt. It is safe for concurrent use.
type Buffers struct {
	mu           sync.Mutex
	buffers      map[core.AttemptID]*buffer
	dropped      map[core.AttemptID]struct{}
	droppedOrder []core.AttemptID
}

// buffer is one answer. changed is closed and replaced at every change, which wakes
// the readers.
type buffer struct {
	data       []byte
	isComplete bool
	isDropped  bool
	readers    int
	isWritten  bool
	changed    chan struct{}
}

// New returns an empty set of buffers.
func New() *Buffers {
	return &Buffers{
		buffers: make(map[core.AttemptID]*buffer),
		dropped: make(map[core.AttemptID]struct{}),
	}
}

// Append appends data to an answer. It has no effect after Drop.
func (b *Buffers) Append(id core.AttemptID, data []byte) {
	b.update(id, func(buf *buffer) { buf.data = append(buf.data, data...) })
}

// Finish marks an answer as complete.
func (b *Buffers) Finish(id core.AttemptID) {
	b.update(id, func(buf *buffer) { buf.isComplete = true })
}

// Drop releases an answer. Readers that have not read all of it get an error.
func (b *Buffers) Drop(id core.AttemptID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if buf := b.buffers[id]; buf != nil {
		buf.isDropped = true
		buf.data = nil
		buf.notifyReaders()
		delete(b.buffers, id)
	}
	b.recordDropped(id)
}

// Bytes returns the data of an answer without copying, or nil if there is none.
func (b *Buffers) Bytes(id core.AttemptID) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if buf := b.buffers[id]; buf != nil {
		return buf.data[:len(buf.data):len(buf.data)]
	}
	return nil
}

// Size returns the number of answers and their total length in bytes.
func (b *Buffers) Size() (count int, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, buf := range b.buffers {
		bytes += len(buf.data)
	}
	return len(b.buffers), bytes
}

// ActiveReaders returns the number of readers that have not reached the end of their
// answer.
func (b *Buffers) ActiveReaders() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, buf := range b.buffers {
		n += buf.readers
	}
	return n
}

func (b *Buffers) update(id core.AttemptID, change func(*buffer)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, isDropped := b.dropped[id]; isDropped {
		return
	}
	buf := b.getOrCreate(id)
	buf.isWritten = true
	change(buf)
	buf.notifyReaders()
}

func (b *Buffers) getOrCreate(id core.AttemptID) *buffer {
	buf := b.buffers[id]
	if buf == nil {
		buf = &buffer{changed: make(chan struct{})}
		b.buffers[id] = buf
	}
	return buf
}

func (b *Buffers) recordDropped(id core.AttemptID) {
	if _, known := b.dropped[id]; known {
		return
	}
	if len(b.droppedOrder) >= maxDroppedIDs {
		delete(b.dropped, b.droppedOrder[0])
		b.droppedOrder = b.droppedOrder[1:]
	}
	b.dropped[id] = struct{}{}
	b.droppedOrder = append(b.droppedOrder, id)
}

func (buf *buffer) notifyReaders() {
	close(buf.changed)
	buf.changed = make(chan struct{})
}

// errDropped is returned to readers of a dropped answer.
var errDropped = connect.NewError(connect.CodeNotFound, errors.New("the answer was dropped"))

// Serve sends an answer starting at offset, with heartbeats while there is no data to
// send. An unknown attempt counts as one that has not started yet. Serve returns nil
// after the end, the error of send or of ctx, CodeNotFound if the answer was dropped,
// or CodeOutOfRange if offset is beyond its end.
func (b *Buffers) Serve(ctx context.Context, id core.AttemptID, offset uint64, send func(*peerpb.AttachResponse) error) error {
	buf, err := b.addReader(id)
	if err != nil {
		return err
	}
	defer b.removeReader(id, buf)
	heartbeat := time.NewTicker(peer.HeartbeatPeriod)
	defer heartbeat.Stop()
	for {
		data, end, changed, err := b.nextChunk(buf, offset)
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
		case <-heartbeat.C:
			if err := send(&peerpb.AttachResponse{Offset: offset, Heartbeat: true}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *Buffers) addReader(id core.AttemptID) (*buffer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, isDropped := b.dropped[id]; isDropped {
		return nil, errDropped
	}
	buf := b.getOrCreate(id)
	buf.readers++
	return buf, nil
}

// removeReader ends a read. It deletes the buffer if nothing was written to it and
// no reader remains.
func (b *Buffers) removeReader(id core.AttemptID, buf *buffer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	buf.readers--
	if buf.readers == 0 && !buf.isWritten && b.buffers[id] == buf {
		delete(b.buffers, id)
	}
}

// nextChunk returns the data after offset (at most maxChunkBytes), whether the answer
// ends with it, and the channel that is closed at the next change.
func (b *Buffers) nextChunk(buf *buffer, offset uint64) (data []byte, end bool, changed chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if buf.isDropped {
		return nil, false, nil, errDropped
	}
	if offset > uint64(len(buf.data)) {
		if buf.isComplete {
			return nil, false, nil, connect.NewError(connect.CodeOutOfRange, errors.New("offset is beyond the end"))
		}
		return nil, false, buf.changed, nil
	}
	data = buf.data[offset:]
	if len(data) > maxChunkBytes {
		data = data[:maxChunkBytes]
	}
	end = buf.isComplete && offset+uint64(len(data)) == uint64(len(buf.data))
	return data[:len(data):len(data)], end, buf.changed, nil
}

var _ peer.AnswerStore = (*Buffers)(nil)
