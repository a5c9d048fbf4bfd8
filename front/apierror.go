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

// Reasons that only the ingress reports, in addition to those of package core.
const (
	reasonInvalid   core.Reason = "invalid_request"
	reasonTooLarge  core.Reason = "request_too_large"
	reasonNotFound  core.Reason = "not_found"
	reasonNoConfig  core.Reason = "no_configuration"
	reasonForbidden core.Reason = "forbidden"
)

// APIError is the error that a caller receives, as the "error" object of a JSON
// body.
type APIError struct {
	// Type is the error type that clients of the chat completions API expect.
	Type    string `json:"type"`
	Code    string `json:"code"`
	Message string `json:"message"`
	// Outcome is "not_run", "unknown_outcome" or "ran".
	Outcome string `json:"outcome"`
	Step    string `json:"step"`
	Peer    string `json:"peer,omitempty"`

	status     int
	retryAfter core.Duration
	retry      bool
}

// Error returns the step, the code and the message.
func (e *APIError) Error() string { return fmt.Sprintf("%s: %s: %s", e.Step, e.Code, e.Message) }

// errorClass determines the error response for a reason.
type errorClass struct {
	status    int
	errorType string
	// retry means that the same request may succeed later.
	retry   bool
	message string
}

const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
	typeConflict       = "conflict_error"
	typeBudget         = "budget_error"
)

// statusClientClosed is the HTTP status of a request whose client has disconnected.
// It is customary but not part of the HTTP standard.
const statusClientClosed = 499

var errorClasses = map[core.Reason]errorClass{
	reasonInvalid:                {http.StatusBadRequest, typeInvalidRequest, false, "the request is not valid"},
	reasonTooLarge:               {http.StatusRequestEntityTooLarge, typeInvalidRequest, false, "the request is too large"},
	reasonNotFound:               {http.StatusNotFound, typeInvalidRequest, false, "nothing is served under this path"},
	reasonNoConfig:               {http.StatusServiceUnavailable, typeServer, true, "no configuration is in force yet"},
	reasonForbidden:              {http.StatusForbidden, typeAuthentication, false, "the account may not do this"},
	core.ReasonUnauthorized:      {http.StatusUnauthorized, typeAuthentication, false, "the key belongs to no account"},
	core.ReasonBudgetExhausted:   {http.StatusPaymentRequired, typeBudget, false, "the budget does not cover the call"},
	core.ReasonHistoryMismatch:   {http.StatusConflict, typeConflict, false, "the conversation does not extend the recorded one"},
	core.ReasonOutOfSequence:     {http.StatusConflict, typeConflict, false, "the call is out of sequence"},
	core.ReasonKeyReuse:          {http.StatusUnprocessableEntity, typeConflict, false, "the idempotency key was used for another request"},
	core.ReasonMemoryLost:        {http.StatusConflict, typeConflict, false, "the program may be older than the memory of its owner"},
	core.ReasonProgramEnded:      {http.StatusGone, typeConflict, false, "the program has ended"},
	core.ReasonLimitExceeded:     {http.StatusTooManyRequests, typeRateLimit, false, "a limit of the program kind or account is reached"},
	core.ReasonOverload:          {http.StatusTooManyRequests, typeRateLimit, true, "there is more work than the targets can do"},
	core.ReasonNoTarget:          {http.StatusServiceUnavailable, typeServer, true, "no target of the pool can take the call"},
	core.ReasonBudgetUnavailable: {http.StatusServiceUnavailable, typeServer, true, "the account's budget cannot be read at present"},
	core.ReasonNoOwner:           {http.StatusServiceUnavailable, typeServer, true, "the program has no owner at present"},
	core.ReasonStaleEpoch:        {http.StatusServiceUnavailable, typeServer, true, "the program changed its owner"},
	core.ReasonTargetRestarted:   {http.StatusServiceUnavailable, typeServer, true, "the target's sidecar was restarted"},
	core.ReasonRefusedBefore:     {http.StatusServiceUnavailable, typeServer, true, "the attempt was refused"},
	core.ReasonDraining:          {http.StatusServiceUnavailable, typeServer, true, "the process is shutting down"},
	core.ReasonTimeout:           {http.StatusGatewayTimeout, typeServer, true, "the call ran out of time"},
	core.ReasonCanceled:          {statusClientClosed, typeServer, false, "the caller left"},
	core.ReasonTargetFailed:      {http.StatusBadGateway, typeServer, true, "the target failed"},
	core.ReasonAnswerLost:        {http.StatusBadGateway, typeServer, true, "the call ran and its answer was lost"},
	core.ReasonHistoryLost: {http.StatusConflict, typeConflict, false,
		"the kept conversation cannot be had; send the whole conversation once, without " + HeaderHistory},
}

// newAPIError returns the error response for a call that ended without a complete
// answer.
func newAPIError(step string, f core.Finish) *APIError {
	c, known := errorClasses[f.Reason]
	if !known {
		c = errorClass{http.StatusInternalServerError, typeServer, false, "the call failed"}
	}
	r := &APIError{
		Type:       c.errorType,
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

// apiErrorf returns an error for a request that is rejected before the call
// reaches the backend; its outcome is "not_run".
func apiErrorf(step string, reason core.Reason, format string, args ...any) *APIError {
	r := newAPIError(step, core.Finish{Outcome: core.OutcomeNotRun, Reason: reason})
	r.Message = fmt.Sprintf(format, args...)
	return r
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error *APIError `json:"error"`
}

// write writes the error as a complete HTTP response.
func (e *APIError) write(w http.ResponseWriter) {
	body, err := json.Marshal(errorBody{Error: e})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	extendWriteDeadline(w)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Should-Retry", strconv.FormatBool(e.retry))
	if e.retryAfter > 0 {
		seconds := math.Ceil(time.Duration(e.retryAfter).Seconds())
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
		h.Set("Retry-After-Ms", strconv.FormatInt(e.retryAfter/core.Millisecond, 10))
	}
	w.WriteHeader(e.status)
	w.Write(body)
}

// event returns the error as a server-sent event. It is used if the caller has
// already received a part of the answer.
func (e *APIError) event() []byte {
	body, err := json.Marshal(errorBody{Error: e})
	if err != nil {
		return nil
	}
	return fmt.Appendf(nil, "data: %s\n\n", body)
}
