package relay

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// authenticate determines the caller's client account, if the configuration has accounts. If
// it returns false, it has answered the caller.
func (e *exchange) authenticate() bool {
	if !e.config.HasAccounts() || e.route.IsPublic {
		return true
	}
	e.account = e.config.AccountOf(e.call.Key)
	if e.account == nil {
		e.w.Header().Set("WWW-Authenticate", "Bearer")
		e.respond(http.StatusUnauthorized, reasonUnknownKey)
		return false
	}
	return true
}

// accountName returns the name of the caller's client account, or the empty string.
func (e *exchange) accountName() string {
	if e.account == nil {
		return ""
	}
	return e.account.Name
}

// callerIdentity distinguishes callers: by their accounts or, without accounts, by their
// credentials.
func (e *exchange) callerIdentity() string {
	if e.account != nil {
		return e.account.Name
	}
	return e.call.Credentials
}

// priority returns the priority of the request; 0 is the most urgent.
func (e *exchange) priority() int {
	if e.account != nil && e.account.HasPriority {
		return e.account.Priority
	}
	return e.route.Priority
}

// accountHash identifies the caller's client account to other entries; 0 if there is none.
func (e *exchange) accountHash() uint64 {
	if e.account == nil {
		return 0
	}
	return max(1, xxhash.Sum64String(e.account.Name))
}

// beginAccountCall counts the call as work of its account until the returned function is
// called.
func (e *exchange) beginAccountCall() (end func()) {
	account, service := e.accountHash(), e.service
	if account == 0 {
		return func() {}
	}
	r := e.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.RecordAccountStart(service, account, time.Now())
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.fleet.RecordAccountEnd(service, account, time.Now())
	}
}
