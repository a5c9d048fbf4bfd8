package member

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

const (
	// maxCommits bounds the writes that wait for the disk. At a member's peak load of a
	// few thousand writes per second it is about one second of writes.
	maxCommits = 4096
	// maxBatchBytes is the size at which a batch is written, so that the write takes
	// milliseconds on a disk of 100 MB/s. Copies between members are split at the same
	// size.
	maxBatchBytes = 1 << 20
)

// stats are the values of the metrics.
type stats struct {
	records, programs            atomic.Int64
	syncs, written, failedWrites atomic.Int64
	syncNanos                    atomic.Int64
	appends, chains, staleViews  atomic.Int64
	// abandoned counts the appends of peers that disconnected before they were handled.
	abandoned atomic.Int64
	// repaired counts the records that were copied because the member had missed them.
	repaired atomic.Int64
	// forwards counts the appends forwarded, one for each member that they go to, missedForwards
	// those that another member did not forward in time.
	forwards, missedForwards atomic.Int64
}

// batch is a group of writes, with their encoded records, that share one sync.
type batch struct {
	writes   []ledger.Write
	payloads [][]byte
	bytes    int
}

// commitWrites runs until ctx ends: it writes the queued records to the disk and syncs
// them. All writes that arrive during a sync share the next one.
func (m *Member) commitWrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-m.commits:
			m.commitBatch(m.collectBatch(first))
		}
	}
}

// collectBatch adds the queued writes to first, until the batch is full.
func (m *Member) collectBatch(first ledger.Write) *batch {
	b := &batch{}
	m.addToBatch(b, first)
	for b.bytes < maxBatchBytes {
		select {
		case next := <-m.commits:
			m.addToBatch(b, next)
		default:
			return b
		}
	}
	return b
}

// addToBatch encodes a write into the batch. A write that cannot be encoded fails without
// affecting the others.
func (m *Member) addToBatch(b *batch, w ledger.Write) {
	payloads := make([][]byte, 0, len(w.Records))
	for _, rec := range w.Records {
		payload, err := proto.Marshal(rec)
		if err != nil {
			m.log.Error().Str("event", "record_rejected").Err(err).Msg("")
			m.post(ledger.Stored{RequestID: w.RequestID, Summaries: w.Summaries, Failed: true})
			return
		}
		payloads = append(payloads, payload)
		b.bytes += len(payload)
	}
	b.writes = append(b.writes, w)
	b.payloads = append(b.payloads, payloads...)
}

func (m *Member) commitBatch(b *batch) {
	if len(b.writes) == 0 {
		return
	}
	began := time.Now()
	locations, err := m.disk.Append(b.payloads)
	m.stats.syncNanos.Add(int64(time.Since(began)))
	m.stats.syncs.Add(1)
	if err != nil {
		m.stats.failedWrites.Add(int64(len(b.writes)))
		m.log.Error().Str("event", "write_failed").Err(err).Int("writes", len(b.writes)).Msg("the quorum has to come from the other members")
		m.signalMissed()
	}
	m.stats.written.Add(int64(len(locations)))
	for _, w := range b.writes {
		stored := ledger.Stored{RequestID: w.RequestID, Summaries: w.Summaries, Records: w.Records, AreCopies: w.AreCopies, Failed: err != nil}
		if err == nil {
			stored.Locations, locations = locations[:len(w.Records)], locations[len(w.Records):]
			for i, at := range stored.Locations {
				m.index.add(w.Summaries[i], at)
			}
		}
		m.post(stored)
	}
}

// replyChain reads a chain of turns and responds with its text.
func (m *Member) replyChain(e ledger.ReplyChain) {
	size := 0
	for _, at := range e.Locations {
		size += int(at.Length)
	}
	if !m.memory.acquire(chainCopies*size, 1) {
		m.reply(e.RequestID, &ledgerpb.Response{Status: ledgerpb.Status_STATUS_OVERLOADED})
		return
	}
	// The response is charged for from when it is queued.
	defer m.memory.charge(-chainCopies * size)
	text := make([]byte, 0, size)
	for _, at := range e.Locations {
		rec, err := m.readRecord(at)
		if err != nil {
			m.log.Error().Str("event", "read_failed").Err(err).Msg("")
			m.reply(e.RequestID, &ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED})
			return
		}
		text = append(text, rec.GetTurn().GetInput()...)
		text = append(text, rec.GetTurn().GetOutput()...)
	}
	m.stats.chains.Add(1)
	status := ledgerpb.Status_STATUS_OK
	if e.Missing != "" {
		status = ledgerpb.Status_STATUS_PARTIAL
	}
	m.reply(e.RequestID, &ledgerpb.Response{Status: status, Chain: text, Missing: e.Missing})
}

func (m *Member) readRecord(at ledger.Location) (*ledgerpb.Record, error) {
	payload, err := m.read(at)
	if err != nil {
		return nil, err
	}
	rec := &ledgerpb.Record{}
	return rec, proto.Unmarshal(payload, rec)
}

// replyRecords responds with stored records, in order, until they exceed maxBatchBytes.
// The caller then requests the rest.
func (m *Member) replyRecords(e ledger.ReplyRecords) {
	response := &ledgerpb.Response{Status: ledgerpb.Status_STATUS_OK}
	size := 0
	for _, at := range e.Locations {
		payload, err := m.read(at)
		if err != nil {
			// If the record were skipped, the copying member would consider itself
			// complete.
			m.log.Error().Str("event", "read_failed").Err(err).Msg("")
			m.reply(e.RequestID, &ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED})
			return
		}
		response.Records = append(response.Records, payload)
		size += len(payload)
		if size > maxBatchBytes {
			break
		}
	}
	m.reply(e.RequestID, response)
}
