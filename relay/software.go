package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
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

// hasVersions reports whether the targets of the turn's service may differ in their software.
func (t *turn) hasVersions() bool {
	t.relay.mu.Lock()
	defer t.relay.mu.Unlock()
	return t.relay.fleet.HasVersions(t.service)
}

// hasSeveralVersions reports whether the registered targets of the turn's service differ in
// their software.
func (t *turn) hasSeveralVersions() bool {
	t.relay.mu.Lock()
	defer t.relay.mu.Unlock()
	return t.relay.fleet.HasSeveralVersions(t.service)
}

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

func (t *turn) originRetentionMS() uint64 {
	return uint64(max(t.route.Retention, minOriginRetention).Milliseconds())
}

// resumeAt restricts a stream that the caller takes up to the software that began it. If it
// returns false, it has answered the caller.
func (t *turn) resumeAt(spending *ledger.Spending) bool {
	software, ok := spending.Software(t.call.Resumes)
	if t.call.Resumes == "" {
		// The stream began with one of the program's attempts.
		software, ok = spending.OnlySoftware()
	}
	if !ok {
		if !t.hasVersions() {
			return true
		}
		t.respond(http.StatusServiceUnavailable, reasonVersionUnknown)
		return false
	}
	t.relay.mu.Lock()
	hasTarget := t.relay.fleet.HasSoftware(t.service, software)
	t.relay.mu.Unlock()
	if !hasTarget {
		t.respond(http.StatusServiceUnavailable, reasonVersionGone)
		return false
	}
	t.software, t.isPinned = software, true
	return true
}

// readOrigin reads which software began a stream without a budget that the caller takes up. If
// it returns false, it has answered the caller.
func (t *turn) readOrigin(ctx context.Context) bool {
	if t.call.Resumes == "" {
		if t.hasSeveralVersions() {
			t.respond(http.StatusServiceUnavailable, reasonVersionUnknown)
			return false
		}
		return true
	}
	if !t.awaitLedger(ctx) {
		t.respondLedgerUnavailable()
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	// A reservation of no tokens reads the spending of its program.
	record := ledger.NewReservation(t.originProgram(t.call.Resumes), t.call.ID, 0, t.originRetentionMS())
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
	if t.software == software || !t.route.Resumable || t.isResume() || !t.hasVersions() {
		return nil
	}
	// A write that fails may have been stored. The next choice is recorded in any case.
	t.software = 0
	t.originSequence++
	record := ledger.NewOrigin(t.originProgram(t.call.ID), t.call.ID, software, t.originSequence, t.originRetentionMS())
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	if _, err := t.relay.ledger.Append(ctx, record); err != nil {
		if t.hasBudget() {
			return err
		}
		// Without the record, the caller can't take the stream up.
		t.relay.log.Debug().Str("event", "origin_not_recorded").Str("request", t.call.ID).Err(err).Msg("")
	}
	t.software = software
	return nil
}
