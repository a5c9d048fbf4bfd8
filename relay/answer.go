package relay

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/resource"
)

// Reasons for the end of a request, as they appear in logs, metrics and the bodies of
// responses that the relay generates itself.
const (
	reasonNoConfig           = "no_configuration"
	reasonNoRoute            = "no_route"
	reasonNoKey              = "no_key"
	reasonUnknownKey         = "unknown_key"
	reasonKeyRevoked         = "key_revoked"
	reasonAccountChanged     = "account_changed"
	reasonOverQuota          = "over_quota"
	reasonQuotaUnknown       = "quota_unknown"
	reasonTooLarge           = "body_too_large"
	reasonBadBody            = "body_unreadable"
	reasonBodyLate           = "body_late"
	reasonNoMemory           = "memory_full"
	reasonChainTooLong       = "chain_too_long"
	reasonHeadTooLarge       = "head_too_large"
	reasonBadID              = "bad_id"
	reasonTargetsFull        = "targets_full"
	reasonOverload           = "overloaded"
	reasonOverShare          = "account_over_share"
	reasonTimeout            = "out_of_time"
	reasonAnswerLost         = "answer_lost"
	reasonBudgetSpent        = "budget_spent"
	reasonUnknownTurn        = "no_such_turn"
	reasonTurnOwnerUnknown   = "turn_of_unknown_account"
	reasonLedgerUnavailable  = "ledger_unavailable"
	reasonTurnNotStored      = "turn_not_kept"
	reasonStreamBroken       = "stream_broken"
	reasonCallerDisconnected = "caller_gone"
	reasonVersionUnknown     = "stream_version_unknown"
	reasonVersionGone        = "stream_version_gone"
	reasonTurnNotResumable   = "turn_not_resumable"
	reasonCrashesTargets     = "crashes_targets"
	reasonStopping           = "stopping"
	reasonAnswered           = "answered"
)

// forwardAnswer sends a target's complete answer to the caller.
func (e *exchange) forwardAnswer(a *attempt, body []byte) {
	maps.Copy(e.w.Header(), e.relay.dialect.ResponseHeader(a.response.Header))
	e.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	e.setConnectionHeader()
	e.w.WriteHeader(a.response.StatusCode)
	e.memory.holder.Wait(resource.Sending, time.Now())
	if e.req.Method != http.MethodHead {
		if _, err := e.w.Write(body); err != nil {
			e.logRequestEnd(a.response.StatusCode, reasonCallerDisconnected)
			return
		}
	}
	e.logRequestEnd(a.response.StatusCode, reasonAnswered)
}

// respondUnavailable answers with status 503 and a Retry-After header. It must only
// be called if no target can have executed the request.
func (e *exchange) respondUnavailable(reason string, retryAfter time.Duration) {
	e.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	e.respond(http.StatusServiceUnavailable, reason)
}

// respond answers with a status and a reason that the relay generates itself. The request's body
// may not have been read.
func (e *exchange) respond(status int, reason string) {
	e.setConnectionHeader()
	defer e.leaveBody()()
	e.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	body := reason + "\n"
	e.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	e.w.WriteHeader(status)
	if _, err := e.w.Write([]byte(body)); err != nil {
		reason = reasonCallerDisconnected
	}
	e.logRequestEnd(status, reason)
}

// abort closes the caller's connection, so that the answer doesn't look complete.
func (e *exchange) abort(reason string) {
	e.logRequestEnd(0, reason)
	panic(http.ErrAbortHandler)
}

// logRequestEnd counts and logs the end of a request, with the estimates that the
// choice of its target was based on.
func (e *exchange) logRequestEnd(status int, reason string) {
	duration := time.Since(e.arrived)
	e.relay.metrics.observeRequest(e.priorityLabel(), reason, duration)
	if e.account != nil {
		e.relay.metrics.countAccount(e.account.Name)
	}
	if reason == reasonAnswered && !e.relay.logQuota.allow(time.Now()) {
		e.relay.metrics.unlogged.Inc()
		return
	}
	name := ""
	version := int64(0)
	if e.route != nil {
		name = e.route.Name
		version = e.config.Version
	}
	e.relay.log.Info().Str("event", "request_end").Str("request", e.call.ID).Str("program", e.call.Program).
		Str("previous", e.call.Previous).Str("route", name).Str("account", e.accountName()).Int64("config", version).Int("status", status).
		Str("reason", reason).Int("sends", e.attempts).Int("runs", e.executions).Str("target", e.choice.Target.ID).
		Str("version", e.choice.Target.Version).Str("resumes", e.call.Resumes).Float64("load", e.choice.Load).Float64("cost_ms", e.choice.CostMS).Int("kept", e.choice.CachedTokens).Str("last_target", e.lastTarget).
		Dur("ledger", e.ledgerWait).Dur("first", e.firstEventAfter).Int("tokens", e.deliveredTokens).
		Dur("took", duration).AnErr("cause", e.lastErr).Msg("")
}

func (e *exchange) priorityLabel() string {
	if e.route == nil {
		return "none"
	}
	priority := e.priority()
	if priority < 0 || priority > maxPriorityLabel {
		return "other"
	}
	return "priority_" + strconv.Itoa(priority)
}

// maxPriorityLabel is the highest priority that has its own value of the metric
// label. It bounds the number of label values.
const maxPriorityLabel = 9

// logFailedAttempt logs a failed attempt. Crashed means that the target's process has ended.
func (e *exchange) logFailedAttempt(fail *failure, crashed bool) {
	choice := e.choice
	e.relay.log.Info().Str("event", "attempt_failed").Str("request", e.call.ID).Str("account", e.accountName()).Str("target", choice.Target.ID).
		Str("version", choice.Target.Version).Str("peer", choice.Target.Addr).Int("send", e.attempts).Uint8("fate", uint8(fail.execution)).Int("status", fail.status).
		Bool("crashed", crashed).Stringer("fingerprint", e.fingerprints.request).Int("tokens", e.deliveredTokens).
		Float64("load", choice.Load).Float64("cost_ms", choice.CostMS).AnErr("cause", fail.err).Msg("")
}
