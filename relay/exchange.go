package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/forecast"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

const (
	// unreadSlack is how long an answer may stay unread after the caller's timeout, which began
	// when the caller sent the request.
	unreadSlack = time.Second
	// defaultCallerTimeout is the timeout assumed for callers that send no
	// deadline.
	defaultCallerTimeout = 10 * time.Second
	// answerMargin is subtracted from the caller's timeout, so that the answer arrives
	// before the caller gives up.
	answerMargin = 25 * time.Millisecond
	// maxAttempts bounds the attempts of one request, including those that targets
	// refused.
	maxAttempts = 6
	// configGracePeriod is the time after the start of the process in which requests wait for
	// the first configuration instead of being refused. It is known within milliseconds if the
	// store or a ledger member responds.
	configGracePeriod = time.Second
	// configRetryAfter is the Retry-After while no configuration is known. A process
	// receives it within a second of its start.
	configRetryAfter = 500 * time.Millisecond
	// timeoutRetryAfter is the Retry-After of requests that timed out without being
	// executed.
	timeoutRetryAfter = 300 * time.Millisecond
	// minDurationDivisor is the divisor of a service's average duration that gives the time
	// below which a call is not sent, since its target would not finish it. The caller is
	// told at once that the call was not executed.
	minDurationDivisor = 4
	// hashRange is the number of distinct hash values; a hash divided by it is
	// in [0, 1).
	hashRange = 1 << 32
)

// exchange is one request of a caller while it is served.
type exchange struct {
	relay   *Relay
	w       http.ResponseWriter
	req     *http.Request
	arrived time.Time

	call    Call
	route   *catalog.Route
	config  *catalog.Config
	service string
	// account is the caller's client account; nil if the route or the configuration needs
	// none.
	account *catalog.Account
	// keyConfig is the configuration that the caller's key was last checked against, and
	// accountErr why the request must not be sent any more.
	keyConfig  *catalog.Config
	accountErr *accountError
	scope      ledgerScope
	body       []byte
	memory     memory
	// fingerprints are valid once the body has been read.
	fingerprints fingerprints
	// isTrial means that the request is sent although it is condemned.
	isTrial  bool
	deadline time.Time

	// attempts counts the attempts that were sent. executions counts those that
	// a target may have executed.
	attempts, executions int
	// mayHaveRun is set once a target may have executed the request, also if the target's
	// process, and the execution with it, has ended.
	mayHaveRun bool
	tried      []catalog.TargetKey
	// charged is how many executions were charged to the account's quota, and runs how many
	// targets may have run the request.
	charged, runs int
	// lastErr is why the last attempt failed.
	lastErr error
	// lastTarget is the id of the target that executed the program's previous turn,
	// as recorded in the ledger.
	lastTarget string
	// software is the catalog.Target.Software that the ledger has for a stream, or that began
	// it; 0 if there is none. If isPinned, only targets with it may get the request.
	software uint64
	isPinned bool
	// beforeSend is called before the request is sent to a chosen target.
	beforeSend func(context.Context, fleet.Choice) error
	// sentBytes is the size of the body that targets get, which includes previous turns.
	sentBytes int
	// choice is the last target that was chosen, with the estimates that the choice was
	// based on.
	choice fleet.Choice
	// reserved is the target reserved for the next attempt; nil if there is none.
	reserved *reservation
	// ledgerWait is how long a turn waited for the ledger. firstEventAfter is the time
	// from the turn's arrival to the first event. deliveredTokens counts the tokens sent
	// to the caller.
	ledgerWait, firstEventAfter time.Duration
	deliveredTokens             int
}

// sendAtOnce is the beforeSend of requests that need nothing before they are sent.
func sendAtOnce(context.Context, fleet.Choice) error { return nil }

// serve routes the request, sets its deadline, reads its body and serves it according
// to the kind of its route.
func (e *exchange) serve() {
	e.call = e.relay.dialect.ReadCall(e.req.Header)
	wait := e.call.TimeLeft
	if wait <= 0 {
		wait = defaultCallerTimeout
	}
	e.limitWrites(wait)
	e.config = e.relay.awaitConfig(e.req.Context(), wait)
	if e.config == nil {
		e.respondUnavailable(reasonNoConfig, configRetryAfter)
		return
	}
	if limit := e.config.Limits.HeaderBytes; limit > 0 && headBytes(e.req) > limit {
		e.respond(http.StatusRequestHeaderFieldsTooLarge, reasonHeadTooLarge)
		return
	}
	e.route = e.config.Match(hostOf(e.req.Host), e.req.URL.EscapedPath())
	if e.route == nil {
		e.respond(http.StatusNotFound, reasonNoRoute)
		return
	}
	if !e.authenticate() {
		return
	}
	e.service = e.route.ServiceFor(e.splitPoint())
	e.deadline = e.arrived.Add(wait - answerMargin)
	if e.route.Timeout > 0 && e.route.Timeout < wait {
		e.deadline = e.arrived.Add(e.route.Timeout - answerMargin)
	}
	if !e.fitsShutdown() {
		return
	}
	defer e.memory.release()
	if !e.readBody() {
		return
	}
	e.fingerprints = e.computeFingerprints()
	e.relay.waitForFacts(e.req.Context())
	if e.isCondemned() {
		e.respondCondemned()
		return
	}
	if !e.admitByQuota() {
		return
	}
	defer e.refundQuota()
	ctx, cancel := e.withDeadline()
	defer cancel()
	defer e.releaseReserved()
	if e.route.Kind == catalog.Streaming {
		e.serveTurn(ctx)
		return
	}
	e.servePlain(ctx)
}

// limitWrites bounds how long the answer may wait for a caller that does not read it, or that has
// become unreachable: until the caller has given up.
func (e *exchange) limitWrites(wait time.Duration) {
	err := http.NewResponseController(e.w).SetWriteDeadline(e.arrived.Add(wait + unreadSlack))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		e.relay.log.Debug().Str("event", "connection_lost").Str("request", e.call.ID).Err(err).Msg("")
	}
}

// headBytes returns the size of a request's head as callers send it, without optional spaces.
func headBytes(req *http.Request) int64 {
	// The request line, the Host header, which is not among the others, and the empty line.
	n := len(req.Method) + len(req.RequestURI) + len(" HTTP/1.1\r\n ") + len("Host: \r\n") + len(req.Host) + len("\r\n")
	for name, values := range req.Header {
		for _, value := range values {
			n += len(name) + len(": \r\n") + len(value)
		}
	}
	return int64(n)
}

// hostOf returns the host without a port.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// splitPoint returns the request's position in [0, 1) among a split route's services.
// The calls of one session get the same service, so that the engine's cached prompt
// can be reused.
func (e *exchange) splitPoint() float64 {
	id := e.call.Session
	if id == "" {
		id = e.call.ID
	}
	return float64(xxhash.Sum64String(id)%hashRange) / hashRange
}

// servePlain serves a request whose answer is not a stream.
func (e *exchange) servePlain(ctx context.Context) {
	for {
		a, ok := e.sendUntilAnswered(ctx, e.body, "")
		if !ok {
			return
		}
		body, err := e.readAnswer(ctx, a)
		if err != nil {
			a.abort(ctx)
			fail := &failure{execution: mayHaveExecuted, target: a.target, startedAt: a.startedAt, noticedAt: time.Now(), err: err}
			e.recordFailure(ctx, fail)
			if !e.retryOrRespond(ctx, fail) {
				return
			}
			continue
		}
		a.countBytes(received, len(body))
		a.complete()
		if a.response.StatusCode >= http.StatusInternalServerError && e.canExecuteAgain(ctx) && time.Until(e.deadline) > e.route.LatencyTarget {
			continue
		}
		e.forwardAnswer(a, body)
		return
	}
}

// canExecuteAgain reports whether a request that may have been executed may be sent
// to one more target.
func (e *exchange) canExecuteAgain(ctx context.Context) bool {
	return e.route.Retryable() && ctx.Err() == nil && e.executions < e.route.MaxTargets && e.attempts < maxAttempts && !e.isCondemned() && e.isAuthorized()
}

// targetQuery returns the query for a target that has not been tried yet.
func (e *exchange) targetQuery(allowFull bool) fleet.Query {
	query := fleet.Query{
		Service: e.service, Domain: e.relay.domain, Prompt: e.call.PromptParts, Exclude: e.tried, AllowFull: allowFull, LastTarget: e.lastTarget,
		AtMostOnce: !e.route.Retryable(), MaxWait: e.maxPermitWait(),
		Class: forecast.Class{Route: e.route.Name, IsLater: e.lastTarget != "" || e.call.Previous != ""}, MaxEvents: e.maxEvents(), BodyBytes: e.sentBytes,
	}
	if e.route.Sticky {
		query.AffinityKey = e.call.AffinityKey
	}
	query.CrashRisk, _ = e.relay.crashRisk(e.fingerprints)
	if e.isPinned {
		// A full target with the stream's software is better than none.
		query.Software, query.AllowFull = e.software, true
	}
	return query
}

// maxEvents returns the most events that a stream may have, or 0 if there is no bound.
func (e *exchange) maxEvents() int {
	if e.call.MaxTokens <= 0 {
		return 0
	}
	perEvent := max(1, e.tokensPerEvent())
	return (e.call.MaxTokens + perEvent - 1) / perEvent
}

// tokensPerEvent returns how many tokens one event of the service counts for.
func (e *exchange) tokensPerEvent() int {
	if engine := e.config.Services[e.service].Engine; engine != nil {
		return engine.TokensPerEvent
	}
	return 1
}

// canFinish reports whether a call that is sent now may end before the deadline. The
// fastest calls take a fraction of the average duration.
func (e *exchange) canFinish() bool {
	if e.relay.disabled.Disables(mechanism.DurationCheck) {
		return true
	}
	needed := e.relay.expectedDuration(e.service) / minDurationDivisor
	if e.route.Kind == catalog.Streaming && e.call.ResumeAfter == "" {
		// Most of a turn's duration is the generation, which no engine does much faster.
		needed = max(needed, e.relay.shortestDuration(e.service))
	}
	return time.Until(e.deadline) >= needed
}

// send chooses a target and sends the request to it once. If no target is available, the
// deadline has passed, or the request must reach none, it returns neither an attempt nor a
// failure. The key is checked again after all that may take long, since it may have been revoked
// meanwhile.
func (e *exchange) send(ctx context.Context, body []byte, resumeAfter string, allowFull bool) (*attempt, *failure) {
	if ctx.Err() != nil || !e.maySend() || !e.isAuthorized() {
		return nil, nil
	}
	e.sentBytes = len(body)
	next := e.chooseTarget(ctx, allowFull)
	if next == nil {
		return nil, nil
	}
	choice := next.choice
	e.attempts++
	e.executions++
	e.choice = choice
	e.tried = append(e.tried, choice.Target.TargetKey)
	err := e.beforeSend(ctx, choice)
	if err == nil && !e.isAuthorized() {
		err = e.accountErr
	}
	if err != nil {
		next.release()
		fail := &failure{execution: notSent, target: choice.Target, err: err}
		e.recordFailure(ctx, fail)
		return nil, fail
	}
	e.chargeExecution()
	a, fail := e.relay.startAttempt(ctx, e, next, body, resumeAfter)
	if fail == nil && a.responseInfo.NotExecuted {
		fail = e.readRefusal(a)
	}
	if fail == nil || fail.execution == mayHaveExecuted {
		e.runs++
	}
	if fail == nil {
		return a, nil
	}
	e.recordFailure(ctx, fail)
	return nil, fail
}

// recordFailure records a failure. It takes back the execution that was counted
// when the request was sent if the target can't have executed the request, or if
// the target's process, and the execution with it, has ended.
func (e *exchange) recordFailure(ctx context.Context, fail *failure) {
	e.lastErr = fail.err
	e.mayHaveRun = e.mayHaveRun || fail.execution == mayHaveExecuted
	crashed := fail.execution == mayHaveExecuted && e.targetHasEnded(ctx, fail.target)
	if fail.execution != mayHaveExecuted || crashed && e.route.Retryable() {
		e.executions--
	}
	if crashed {
		e.recordCrash(fail)
	}
	e.logFailedAttempt(fail, crashed)
	if fail.refused {
		// The target is not chosen again, so refusals need no bound.
		e.attempts--
	}
}

// sendUntilAnswered sends the request to one target after another until one answers.
// If it returns false, it has answered the caller.
func (e *exchange) sendUntilAnswered(ctx context.Context, body []byte, resumeAfter string) (*attempt, bool) {
	for {
		if e.executions == 0 && !e.canFinish() {
			e.respondTimeout()
			return nil, false
		}
		a, fail := e.send(ctx, body, resumeAfter, false)
		if a != nil {
			return a, true
		}
		if fail == nil {
			e.respondNoTarget()
			return nil, false
		}
		if !e.retryOrRespond(ctx, fail) {
			return nil, false
		}
	}
}

// readRefusal reads the rest of a target's refusal and ends the attempt.
func (e *exchange) readRefusal(a *attempt) *failure {
	status := a.response.StatusCode
	if err := a.conn.discardBounded(a.response.Body); err != nil {
		a.abort(context.Background())
	} else {
		a.complete()
	}
	return &failure{execution: notExecuted, target: a.target, status: status}
}

// retryOrRespond reports whether the request may be sent again after a failure. If
// it returns false, it has answered the caller.
func (e *exchange) retryOrRespond(ctx context.Context, fail *failure) bool {
	if ctx.Err() != nil {
		e.respondTimeout()
		return false
	}
	if fail.execution != mayHaveExecuted && e.attempts < maxAttempts || e.canExecuteAgain(ctx) {
		return true
	}
	e.respondNoTarget()
	return false
}

// targetHasEnded reports whether the target's process has ended. The execution ended with
// it and does not count against the route's MaxTargets.
func (e *exchange) targetHasEnded(ctx context.Context, target catalog.Target) bool {
	return ctx.Err() == nil && e.relay.pool.refusesConnections(ctx, poolKey{target.TargetKey, target.Addr})
}

// respondNoTarget answers a request that cannot be sent to another target.
func (e *exchange) respondNoTarget() {
	if e.isCondemned() {
		e.respondCondemned()
		return
	}
	mayHaveRun := e.executions > 0 || e.mayHaveRun
	switch {
	case e.accountErr != nil && !mayHaveRun:
		e.respondNotAuthorized()
	case e.hasEnded():
		e.respondTimeout()
	case mayHaveRun:
		e.respond(http.StatusBadGateway, reasonAnswerLost)
	default:
		e.respondUnavailable(reasonTargetsFull, e.relay.retryAfter(e.service))
	}
}

// hasEnded reports whether the caller waits for no answer any more.
func (e *exchange) hasEnded() bool {
	return e.req.Context().Err() != nil || !time.Now().Before(e.deadline)
}

// respondTimeout answers a request whose deadline has passed or is too close.
func (e *exchange) respondTimeout() {
	if e.executions > 0 || e.mayHaveRun {
		e.respond(http.StatusGatewayTimeout, reasonTimeout)
		return
	}
	e.respondUnavailable(reasonTimeout, timeoutRetryAfter)
}
