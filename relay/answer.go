package relay

import (
	"maps"
	"net/http"
	"strconv"
	"time"
)

// Reasons of answers of the system's own, as they stand in logs and metrics.
const (
	reasonNoConfig   = "no_configuration"
	reasonNoRoute    = "no_route"
	reasonTooLarge   = "body_too_large"
	reasonBadBody    = "body_unreadable"
	reasonBadID      = "bad_id"
	reasonFull       = "targets_full"
	reasonOverload   = "overloaded"
	reasonTimeout    = "out_of_time"
	reasonLost       = "answer_lost"
	reasonBudget     = "budget_spent"
	reasonNoTurn     = "no_such_turn"
	reasonLedger     = "ledger_unavailable"
	reasonNotKept    = "turn_not_kept"
	reasonStream     = "stream_broken"
	reasonCallerGone = "caller_gone"
	reasonAnswered   = "answered"
)

// answer passes a target's whole answer on.
func (e *exchange) answer(a *attempt, body []byte) {
	maps.Copy(e.w.Header(), e.relay.dialect.AnswerHeader(a.response.Header))
	e.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	e.w.WriteHeader(a.response.StatusCode)
	if e.req.Method != http.MethodHead {
		if _, err := e.w.Write(body); err != nil {
			e.logEnd(a.response.StatusCode, reasonCallerGone)
			return
		}
	}
	e.logEnd(a.response.StatusCode, reasonAnswered)
}

// refuse promises that the request has not run and tells when to come back.
func (e *exchange) refuse(reason string, after time.Duration) {
	e.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	e.respond(http.StatusServiceUnavailable, reason)
}

// respond writes an answer of the system's own.
func (e *exchange) respond(status int, reason string) {
	e.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	body := reason + "\n"
	e.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	e.w.WriteHeader(status)
	if _, err := e.w.Write([]byte(body)); err != nil {
		reason = reasonCallerGone
	}
	e.logEnd(status, reason)
}

// abort ends the caller's connection, so that the answer does not look complete.
func (e *exchange) abort(reason string) {
	e.logEnd(0, reason)
	panic(http.ErrAbortHandler)
}

// logEnd writes the line of a request's end, with what decided it.
func (e *exchange) logEnd(status int, reason string) {
	took := time.Since(e.arrived)
	e.relay.metrics.observe(e.kind(), reason, took)
	if reason == reasonAnswered && !e.relay.quota.take(time.Now()) {
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
		Str("previous", e.call.Previous).Str("route", name).Int64("config", version).Int("status", status).
		Str("reason", reason).Int("sends", e.sends).Int("runs", e.runs).Str("target", e.choice.Target.ID).
		Float64("load", e.choice.Load).Float64("cost_ms", e.choice.CostMS).Int("kept", e.choice.CachedTokens).Str("last_target", e.lastTarget).
		Dur("ledger", e.ledgerTook).Dur("first", e.first).Int("tokens", e.tokens).
		Dur("took", took).AnErr("cause", e.last).Msg("")
}

func (e *exchange) kind() string {
	if e.route == nil {
		return "none"
	}
	if e.route.Priority > maxPriorityLabel {
		return "other"
	}
	return "priority_" + strconv.Itoa(e.route.Priority)
}

// maxPriorityLabel bounds the values of the metrics' label.
const maxPriorityLabel = 9

// logAttempt writes the line of a failed attempt.
func (e *exchange) logAttempt(fail *failure) {
	choice := e.choice
	e.relay.log.Info().Str("event", "attempt_failed").Str("request", e.call.ID).Str("target", choice.Target.ID).
		Str("peer", choice.Target.Addr).Int("send", e.sends).Uint8("fate", uint8(fail.fate)).Int("status", fail.status).
		Float64("load", choice.Load).Float64("cost_ms", choice.CostMS).AnErr("cause", fail.err).Msg("")
}
