package front

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Reasons of refusals that arise at the edge alone.
const (
	reasonInvalid   core.Reason = "invalid_request"
	reasonTooLarge  core.Reason = "request_too_large"
	reasonNotFound  core.Reason = "not_found"
	reasonNoConfig  core.Reason = "no_configuration"
	reasonForbidden core.Reason = "forbidden"
)

// APIError is the error that a caller receives.
type APIError struct {
	// Type groups the codes as the API's clients know them.
	Type    string `json:"type"`
	Code    string `json:"code"`
	Message string `json:"message"`
	// Outcome is not_run, unknown_outcome or ran.
	Outcome string `json:"outcome"`
	Step    string `json:"step"`
	Peer    string `json:"peer,omitempty"`

	status     int
	retryAfter core.Duration
	retry      bool
}

// Error returns the step, the code and the message.
func (r *APIError) Error() string { return fmt.Sprintf("%s: %s: %s", r.Step, r.Code, r.Message) }

// class is how a reason appears to callers.
type class struct {
	status int
	kind   string
	// retry says that the same request may succeed later.
	retry   bool
	message string
}

const (
	kindInvalid  = "invalid_request_error"
	kindAuth     = "authentication_error"
	kindLimit    = "rate_limit_error"
	kindServer   = "server_error"
	kindConflict = "conflict_error"
	kindBudget   = "budget_error"
)

// statusClientClosed is the customary status of a request whose client left.
const statusClientClosed = 499

var classes = map[core.Reason]class{
	reasonInvalid:                {http.StatusBadRequest, kindInvalid, false, "the request is not valid"},
	reasonTooLarge:               {http.StatusRequestEntityTooLarge, kindInvalid, false, "the request is too large"},
	reasonNotFound:               {http.StatusNotFound, kindInvalid, false, "nothing is served under this path"},
	reasonNoConfig:               {http.StatusServiceUnavailable, kindServer, true, "no configuration is in force yet"},
	reasonForbidden:              {http.StatusForbidden, kindAuth, false, "the account may not do this"},
	core.ReasonUnauthorized:      {http.StatusUnauthorized, kindAuth, false, "the key belongs to no account"},
	core.ReasonBudgetExhausted:   {http.StatusPaymentRequired, kindBudget, false, "the budget does not cover the call"},
	core.ReasonHistoryMismatch:   {http.StatusConflict, kindConflict, false, "the conversation does not extend the recorded one"},
	core.ReasonOutOfSequence:     {http.StatusConflict, kindConflict, false, "the call is out of sequence"},
	core.ReasonKeyReuse:          {http.StatusUnprocessableEntity, kindConflict, false, "the idempotency key was used for another request"},
	core.ReasonMemoryLost:        {http.StatusConflict, kindConflict, false, "the program may be older than the memory of its owner"},
	core.ReasonProgramEnded:      {http.StatusGone, kindConflict, false, "the program has ended"},
	core.ReasonLimitExceeded:     {http.StatusTooManyRequests, kindLimit, false, "a limit of the program kind or account is reached"},
	core.ReasonOverload:          {http.StatusTooManyRequests, kindLimit, true, "there is more work than the targets can do"},
	core.ReasonNoTarget:          {http.StatusServiceUnavailable, kindServer, true, "no target of the pool can take the call"},
	core.ReasonBudgetUnavailable: {http.StatusServiceUnavailable, kindServer, true, "the account's budget cannot be read at present"},
	core.ReasonNoOwner:           {http.StatusServiceUnavailable, kindServer, true, "the program has no owner at present"},
	core.ReasonStaleEpoch:        {http.StatusServiceUnavailable, kindServer, true, "the program changed its owner"},
	core.ReasonTargetRestarted:   {http.StatusServiceUnavailable, kindServer, true, "the target's sidecar was restarted"},
	core.ReasonRefusedBefore:     {http.StatusServiceUnavailable, kindServer, true, "the attempt was refused"},
	core.ReasonDraining:          {http.StatusServiceUnavailable, kindServer, true, "the process is shutting down"},
	core.ReasonTimeout:           {http.StatusGatewayTimeout, kindServer, true, "the call ran out of time"},
	core.ReasonCanceled:          {statusClientClosed, kindServer, false, "the caller left"},
	core.ReasonTargetFailed:      {http.StatusBadGateway, kindServer, true, "the target failed"},
	core.ReasonAnswerLost:        {http.StatusBadGateway, kindServer, true, "the call ran and its answer was lost"},
	core.ReasonHistoryLost: {http.StatusConflict, kindConflict, false,
		"the kept conversation cannot be had; send the whole conversation once, without " + HeaderHistory},
}

// refuse returns the refusal of a finish that did not bring an answer.
func refuse(step string, f core.Finish) *APIError {
	c, known := classes[f.Reason]
	if !known {
		c = class{http.StatusInternalServerError, kindServer, false, "the call failed"}
	}
	r := &APIError{
		Type:       c.kind,
		Code:       string(f.Reason),
		Message:    c.message,
		Outcome:    f.Outcome.String(),
		Step:       step,
		Peer:       string(f.Sidecar.VM),
		status:     c.status,
		retryAfter: f.RetryAfter,
		retry:      c.retry && f.Outcome == core.OutcomeNotRun,
	}
	if f.Outcome == core.OutcomeUnknown {
		r.Message += "; it may have been executed and will not be sent again"
	}
	return r
}

// refusef returns a refusal that arose before the call was passed on.
func refusef(step string, reason core.Reason, format string, args ...any) *APIError {
	r := refuse(step, core.Finish{Outcome: core.OutcomeNotRun, Reason: reason})
	r.Message = fmt.Sprintf(format, args...)
	return r
}

// envelope is the JSON body of a refusal.
type envelope struct {
	Error *APIError `json:"error"`
}

// send writes the refusal as a whole response.
func (r *APIError) send(w http.ResponseWriter) {
	body, err := json.Marshal(envelope{Error: r})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	extendWrite(w)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Should-Retry", strconv.FormatBool(r.retry))
	if r.retryAfter > 0 {
		seconds := math.Ceil(time.Duration(r.retryAfter).Seconds())
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
		h.Set("Retry-After-Ms", strconv.FormatInt(r.retryAfter/core.Millisecond, 10))
	}
	w.WriteHeader(r.status)
	w.Write(body)
}

// event returns the refusal as a server-sent event, for an answer of which a
// part has reached the caller.
func (r *APIError) event() []byte {
	body, err := json.Marshal(envelope{Error: r})
	if err != nil {
		return nil
	}
	return fmt.Appendf(nil, "data: %s\n\n", body)
}
