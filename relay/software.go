package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// What two versions of a target's software generate for one request differs, so a stream goes
// on only at targets with the software that began it. The ledger records which one that is
// before the first event is delivered: in the turn's reservation or, if that does not say so,
// in a record of its own. A caller may take the stream up at any entry.

const (
	// minOriginRetention is the shortest time for which the software of a stream is recorded
	// after its last record. Callers take a stream up within their deadline.
	minOriginRetention = time.Minute
	// originTimeout bounds the write of the software of a stream that is about to begin.
	originTimeout = 500 * time.Millisecond
)

// isResume reports whether the caller takes up a stream after an event.
func (t *turn) isResume() bool { return t.route.Resumable && t.call.ResumeAfter != "" }

// likelySoftware returns the software of the target that would get the turn now, or 0.
func (t *turn) likelySoftware() uint64 {
	if !t.route.Resumable {
		return 0
	}
	query := t.targetQuery(false)
	t.relay.mu.Lock()
	defer t.relay.mu.Unlock()
	return t.relay.fleet.LikelySoftware(query, time.Now())
}

// originProgram returns the program under which the ledger records the software of a stream
// that the given request began. A stream without a budget has one of its own.
func (t *turn) originProgram(request string) string {
	if t.hasBudget() {
		return t.scope.qualify(t.call.Program)
	}
	return t.scope.qualify("stream/" + request)
}

// equalsProgram returns the program under which the ledger records all software that began
// streams of requests like this one, for callers that do not name the request that began theirs.
func (t *turn) equalsProgram() string {
	return t.scope.qualify("streams/" + t.fingerprints.request.String())
}

func (t *turn) originRetentionMS() uint64 {
	return uint64(max(t.route.Retention, minOriginRetention).Milliseconds())
}

// resumeAt restricts a stream that the caller takes up to the software that began it. If it
// returns false, it has answered the caller.
//
// Invariant: which targets may continue the stream follows from the ledger alone. The targets that
// this entry knows say nothing of those that others know or knew.
func (t *turn) resumeAt(spending *ledger.Spending) bool {
	// The stream began with one of the program's attempts.
	began := spending.Softwares()
	if t.call.Resumes != "" {
		began = nil
		if software, ok := spending.Software(t.call.Resumes); ok {
			began = []uint64{software}
		}
	}
	reason := reasonVersionGone
	if len(began) == 0 && !t.hasBudget() {
		// Without a budget, only the software of targets that name a version is recorded.
		unversioned := catalog.Target{Service: t.service}
		began, reason = []uint64{unversioned.Software()}, reasonVersionUnknown
	}
	if len(began) != 1 {
		t.respond(http.StatusServiceUnavailable, reasonVersionUnknown)
		return false
	}
	software := began[0]
	t.relay.mu.Lock()
	mayComeYet := !t.relay.fleet.HasTargets(t.service) || t.relay.fleet.HasSoftware(t.service, software)
	t.relay.mu.Unlock()
	if !mayComeYet {
		t.respond(http.StatusServiceUnavailable, reason)
		return false
	}
	t.software, t.isPinned = software, true
	return true
}

// readOrigin reads which software began a stream without a budget that the caller takes up. If
// it returns false, it has answered the caller.
func (t *turn) readOrigin(ctx context.Context) bool {
	if !t.awaitLedger(ctx) {
		t.respondLedgerUnavailable()
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	program := t.equalsProgram()
	if t.call.Resumes != "" {
		program = t.originProgram(t.call.Resumes)
	}
	// A reservation of no tokens reads the spending of its program.
	record := ledger.NewReservation(program, t.call.ID, 0, t.originRetentionMS())
	spending, err := t.relay.ledger.Append(ctx, record)
	if err != nil {
		t.lastErr = err
		t.respondLedgerUnavailable()
		return false
	}
	return t.resumeAt(spending)
}

// recordSoftware is called when a target has been chosen and before the turn is sent to it. It
// records the software that will begin the stream, unless the ledger has it already.
func (t *turn) recordSoftware(ctx context.Context, choice fleet.Choice) error {
	software := choice.Target.Software()
	if t.software == software || !t.route.Resumable || t.isResume() || !t.hasBudget() && choice.Target.Version == "" {
		return nil
	}
	// A write that fails may have been stored. The next choice is recorded in any case.
	t.software = 0
	t.originSequence++
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	if _, err := t.relay.ledger.Append(ctx, t.originRecords(software)...); err != nil {
		if t.hasBudget() {
			return err
		}
		// Without the record, the caller can't take the stream up.
		t.relay.log.Debug().Str("event", "origin_not_recorded").Str("request", t.call.ID).Err(err).Msg("")
	}
	t.software = software
	return nil
}

// originRecords returns the records of the software that begins the stream.
func (t *turn) originRecords(software uint64) []*ledgerpb.Record {
	records := []*ledgerpb.Record{ledger.NewOrigin(t.originProgram(t.call.ID), t.call.ID, software, t.originSequence, t.originRetentionMS())}
	if !t.hasBudget() {
		// One attempt stands for all with the same software.
		records = append(records, ledger.NewOrigin(t.equalsProgram(), strconv.FormatUint(software, 16), software, 1, t.originRetentionMS()))
	}
	return records
}
