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
	// maxCommits bounds the writes that wait for the disk. At the heaviest load
	// of a member, some thousand writes a second, they are a second's worth.
	maxCommits = 4096
	// maxBatchBytes bounds one write to the disk, so that a batch takes
	// milliseconds on disks of a hundred megabytes a second.
	maxBatchBytes = 1 << 20
)

// stats are counts for metrics.
type stats struct {
	records, programs          atomic.Int64
	syncs, written, failed     atomic.Int64
	syncNanos                  atomic.Int64
	appends, chains, staleView atomic.Int64
}

// batch is the writes that one sync makes durable, with their encoded records.
type batch struct {
	writes   []ledger.Write
	payloads [][]byte
	bytes    int
}

// commit makes writes durable: one sync serves all that came meanwhile.
func (m *Member) commit(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-m.commits:
			m.commitBatch(m.gather(first))
		}
	}
}

// gather takes the writes that wait, up to the size of a batch.
func (m *Member) gather(first ledger.Write) *batch {
	b := &batch{}
	m.add(b, first)
	for b.bytes < maxBatchBytes {
		select {
		case next := <-m.commits:
			m.add(b, next)
		default:
			return b
		}
	}
	return b
}

// add encodes a write. One that cannot be encoded fails alone.
func (m *Member) add(b *batch, w ledger.Write) {
	payloads := make([][]byte, 0, len(w.Records))
	for _, rec := range w.Records {
		payload, err := proto.Marshal(rec)
		if err != nil {
			m.log.Error().Str("event", "record_rejected").Err(err).Msg("")
			m.post(ledger.Stored{RequestID: w.RequestID, Failed: true})
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
		m.stats.failed.Add(int64(len(b.writes)))
		m.log.Error().Str("event", "write_failed").Err(err).Int("writes", len(b.writes)).Msg("other members make the quorum")
	}
	m.stats.written.Add(int64(len(locations)))
	for _, w := range b.writes {
		stored := ledger.Stored{RequestID: w.RequestID, Keys: w.Keys, Records: w.Records, Failed: err != nil}
		if err == nil {
			stored.Locations, locations = locations[:len(w.Records)], locations[len(w.Records):]
		}
		m.post(stored)
	}
}

// replyChain reads a chain of turns and answers with its text.
func (m *Member) replyChain(e ledger.ReplyChain) {
	var text []byte
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
	payload, err := m.disk.Read(at)
	if err != nil {
		return nil, err
	}
	rec := &ledgerpb.Record{}
	return rec, proto.Unmarshal(payload, rec)
}

// replyRecords answers with stored records.
func (m *Member) replyRecords(e ledger.ReplyRecords) {
	response := &ledgerpb.Response{Status: ledgerpb.Status_STATUS_OK}
	size := 0
	for _, at := range e.Locations {
		payload, err := m.disk.Read(at)
		if err != nil {
			// A member that copies must not take itself for complete.
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
