package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

const (
	// defaultWait is how long a caller is taken to wait that does not say.
	defaultWait = 10 * time.Second
	// answerMargin is taken off the caller's time, so that it has the answer
	// before it gives up.
	answerMargin = 25 * time.Millisecond
	// maxSends bounds the sends of one request, refused ones included.
	maxSends = 6
	// configRetry is told while no configuration is known. A process that starts
	// learns it within a second.
	configRetry = 500 * time.Millisecond
	// targetRetry is told when no target takes work for other causes than load.
	targetRetry = 300 * time.Millisecond
	// hashRange scales a hash to a point in [0, 1).
	hashRange = 1 << 32
)

// exchange is one request of a caller on its way.
type exchange struct {
	relay   *Relay
	w       http.ResponseWriter
	req     *http.Request
	arrived time.Time

	call     Call
	route    *catalog.Route
	config   *catalog.Config
	service  string
	body     []byte
	deadline time.Time

	// sends counts attempts, runs those that a target may have run.
	sends, runs int
	tried       []catalog.TargetKey
	// last is why the last attempt failed.
	last error
	// lastTarget ran the program's turn before, as the ledger tells.
	lastTarget string
	// choice is the last target that was chosen, with what decided it.
	choice fleet.Choice
	// ledgerTook is how long a turn waited for the ledger, first how long for its
	// first event; tokens counts what was handed to the caller.
	ledgerTook, first time.Duration
	tokens            int
}

// serve answers the request.
func (e *exchange) serve() {
	e.call = e.relay.dialect.ReadCall(e.req.Header)
	e.config = e.relay.config.Load()
	if e.config == nil {
		e.refuse(reasonNoConfig, configRetry)
		return
	}
	e.route = e.config.Match(hostOf(e.req.Host), e.req.URL.EscapedPath())
	if e.route == nil {
		e.respond(http.StatusNotFound, reasonNoRoute)
		return
	}
	e.service = e.route.ServiceFor(e.point())
	wait := e.call.TimeLeft
	if wait <= 0 {
		wait = defaultWait
	}
	e.deadline = e.arrived.Add(wait - answerMargin)
	if e.route.Timeout > 0 && e.route.Timeout < wait {
		e.deadline = e.arrived.Add(e.route.Timeout - answerMargin)
	}
	if !e.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(e.req.Context(), e.deadline)
	defer cancel()
	if e.route.Kind == catalog.Streaming {
		e.serveTurn(ctx)
		return
	}
	e.servePlain(ctx)
}

// hostOf returns the host without a port.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// point places the request among a split route's services. The calls of one
// session stay together, so that what its engine keeps is of use.
func (e *exchange) point() float64 {
	id := e.call.Session
	if id == "" {
		id = e.call.ID
	}
	return float64(xxhash.Sum64String(id)%hashRange) / hashRange
}

// readBody reads the request's body and reports whether it could.
func (e *exchange) readBody() bool {
	limit := e.config.Limits.BodyBytes
	reader := io.Reader(e.req.Body)
	if limit > 0 {
		if e.req.ContentLength > limit {
			e.respond(http.StatusRequestEntityTooLarge, reasonTooLarge)
			return false
		}
		reader = http.MaxBytesReader(e.w, e.req.Body, limit)
	}
	var err error
	if n := e.req.ContentLength; n > 0 {
		e.body = make([]byte, n)
		_, err = io.ReadFull(reader, e.body)
	} else if n < 0 {
		e.body, err = io.ReadAll(reader)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		e.respond(http.StatusRequestEntityTooLarge, reasonTooLarge)
		return false
	}
	if err != nil {
		e.respond(http.StatusBadRequest, reasonBadBody)
		return false
	}
	return true
}

// servePlain answers a request of a plain service.
func (e *exchange) servePlain(ctx context.Context) {
	for {
		a, ok := e.attempt(ctx, e.body, "")
		if !ok {
			return
		}
		body, err := io.ReadAll(a.response.Body)
		if err != nil {
			a.abort(ctx)
			fail := &failure{fate: mayHaveRun, target: a.target, err: err}
			e.failed(ctx, fail)
			if !e.mayGoOn(ctx, fail) {
				return
			}
			continue
		}
		a.complete()
		if a.response.StatusCode >= http.StatusInternalServerError && e.canRepeat(ctx) && time.Until(e.deadline) > e.route.LatencyTarget {
			continue
		}
		e.answer(a, body)
		return
	}
}

// canRepeat says whether a request that may have run may be sent to one more
// target.
func (e *exchange) canRepeat(ctx context.Context) bool {
	return e.route.Retryable() && ctx.Err() == nil && e.runs < e.route.MaxTargets && e.sends < maxSends
}

// query asks for a target that was not tried.
func (e *exchange) query(force bool) fleet.Query {
	return fleet.Query{
		Service: e.service, Domain: e.relay.domain, Prompt: e.call.PromptParts, Exclude: e.tried, AllowFull: force, LastTarget: e.lastTarget,
		AtMostOnce: !e.route.Retryable(),
	}
}

// send chooses a target and sends the request to it once. Without a target it
// returns neither an attempt nor a failure.
func (e *exchange) send(ctx context.Context, body []byte, resumeAfter string, force bool) (*attempt, *failure) {
	choice, ok := e.relay.pick(e.query(force))
	if !ok {
		return nil, nil
	}
	e.sends++
	e.runs++
	e.choice = choice
	e.tried = append(e.tried, choice.Target.TargetKey)
	a, fail := e.relay.start(ctx, e, choice.Target, body, resumeAfter)
	if fail == nil && a.answer.NotExecuted {
		fail = e.takeRefusal(a)
	}
	if fail == nil {
		return a, nil
	}
	e.logAttempt(fail)
	e.failed(ctx, fail)
	return nil, fail
}

// failed takes note of a failure. The run that was counted when the request was
// sent is taken back if the target cannot have run it, or has ended with it.
func (e *exchange) failed(ctx context.Context, fail *failure) {
	e.last = fail.err
	if fail.fate != mayHaveRun || e.hasEnded(ctx, fail.target) {
		e.runs--
	}
}

// attempt sends the request until a target answers it. If it returns false, the
// caller has its answer.
func (e *exchange) attempt(ctx context.Context, body []byte, resumeAfter string) (*attempt, bool) {
	for {
		a, fail := e.send(ctx, body, resumeAfter, false)
		if a != nil {
			return a, true
		}
		if fail == nil {
			e.giveUp()
			return nil, false
		}
		if !e.mayGoOn(ctx, fail) {
			return nil, false
		}
	}
}

// takeRefusal reads a refusal to its end.
func (e *exchange) takeRefusal(a *attempt) *failure {
	status := a.response.StatusCode
	if _, err := io.Copy(io.Discard, a.response.Body); err != nil {
		a.abort(context.Background())
	} else {
		a.complete()
	}
	return &failure{fate: notRun, target: a.target, status: status}
}

// mayGoOn says whether the request may be sent again after a failure. If not, the
// caller has its answer.
func (e *exchange) mayGoOn(ctx context.Context, fail *failure) bool {
	if ctx.Err() != nil {
		e.outOfTime()
		return false
	}
	if fail.fate != mayHaveRun && e.sends < maxSends || e.canRepeat(ctx) {
		return true
	}
	e.giveUp()
	return false
}

// hasEnded says whether the target of a request that may run again has ended. Its
// run then ended with it and does not count against the route's targets.
func (e *exchange) hasEnded(ctx context.Context, target catalog.Target) bool {
	return e.route.Retryable() && ctx.Err() == nil && e.relay.pool.refuses(ctx, poolKey{target.TargetKey, target.Addr})
}

// giveUp answers a request that no more target is to get.
func (e *exchange) giveUp() {
	if e.runs > 0 {
		e.respond(http.StatusBadGateway, reasonLost)
		return
	}
	e.refuse(reasonFull, e.relay.retryAfter(e.service))
}

// outOfTime answers a request whose time is over.
func (e *exchange) outOfTime() {
	if e.runs > 0 {
		e.respond(http.StatusGatewayTimeout, reasonTimeout)
		return
	}
	e.refuse(reasonTimeout, targetRetry)
}
