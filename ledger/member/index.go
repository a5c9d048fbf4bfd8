package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/segment"
)

const (
	// indexPeriod is the time between two writes of the index. A member that lost power
	// reads the records of about the last indexPeriod from the segment files, and callers
	// wait meanwhile.
	indexPeriod = 250 * time.Millisecond
	// maxFrameRecords bounds the records of one index frame.
	maxFrameRecords = 8192
)

// pendingFrame collects consecutive records of one segment that the index lacks.
type pendingFrame struct {
	described segment.Range
	records   []ledger.Indexed
}

// indexQueue holds the durable records that the index lacks, in the order in which they
// were written. It is safe for concurrent use.
type indexQueue struct {
	mu     sync.Mutex
	frames []pendingFrame
}

// add queues a durable record.
func (q *indexQueue) add(summary ledger.Summary, at ledger.Location) {
	q.mu.Lock()
	defer q.mu.Unlock()
	described, record := segment.RangeOf(at), ledger.Indexed{Summary: summary, Length: at.Length}
	if last := len(q.frames) - 1; last >= 0 {
		f := &q.frames[last]
		if f.described.Segment == at.Segment && len(f.records) < maxFrameRecords {
			f.described = f.described.Join(described)
			f.records = append(f.records, record)
			return
		}
	}
	q.frames = append(q.frames, pendingFrame{described: described, records: []ledger.Indexed{record}})
}

// take removes and returns all frames.
func (q *indexQueue) take() []pendingFrame {
	q.mu.Lock()
	defer q.mu.Unlock()
	frames := q.frames
	q.frames = nil
	return frames
}

// putBack queues frames again, before those that were added since.
func (q *indexQueue) putBack(frames []pendingFrame) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.frames = append(slices.Clone(frames), q.frames...)
}

// writeIndex writes the queued frames to the disk every indexPeriod, and once more when
// ctx ends.
func (m *Member) writeIndex(ctx context.Context) {
	for ctx.Err() == nil {
		ctxwait.Sleep(ctx, indexPeriod)
		m.flushIndex()
	}
}

func (m *Member) flushIndex() {
	frames := m.index.take()
	for i, f := range frames {
		content, err := proto.Marshal(ledger.EncodeFrame(f.records))
		if err == nil {
			err = m.disk.AppendIndex(f.described, content)
		}
		if err != nil {
			m.log.Warn().Str("event", "index_not_written").Err(err).Int("records", len(f.records)).Msg("retrying")
			m.index.putBack(frames[i:])
			return
		}
	}
}

// loadFrame passes the records of an index frame to the replica. Records of an unknown
// kind are skipped.
func (m *Member) loadFrame(described segment.Range, content []byte, now time.Time) error {
	frame := &ledgerpb.IndexFrame{}
	if err := proto.Unmarshal(content, frame); err != nil {
		return err
	}
	summaries := make([]ledger.Summary, 0, len(frame.GetKeys()))
	if err := ledger.DecodeFrame(frame, func(r ledger.Indexed) { summaries = append(summaries, r.Summary) }); err != nil {
		return err
	}
	if !described.Locations(frame.GetLengths(), func(i int, at ledger.Location) {
		if summaries[i].Kind == 0 {
			return
		}
		m.replica.Step(ledger.Loaded{Summary: summaries[i], Location: at}, now)
	}) {
		return errFrameRange
	}
	return nil
}

// loadRecord passes a record that the index lacks to the replica, and queues it for the
// index.
func (m *Member) loadRecord(at ledger.Location, payload []byte, now time.Time) error {
	rec := &ledgerpb.Record{}
	if err := proto.Unmarshal(payload, rec); err != nil {
		return err
	}
	summary, ok := ledger.Summarize(rec)
	if ok {
		m.replica.Step(ledger.Loaded{Summary: summary, Location: at}, now)
	}
	// Records of an unknown kind are indexed as well, with the kind 0, since frames must
	// not have gaps.
	m.index.add(summary, at)
	return nil
}
