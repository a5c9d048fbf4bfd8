package relay

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
)

// accountError means that the configuration in force does not allow a request to be sent. It
// contains no key.
type accountError struct {
	// reason is one of the reasons for the end of a request.
	reason  string
	version int64
}

func (e *accountError) Error() string {
	return fmt.Sprintf("%s according to version %d of the configuration", e.reason, e.version)
}

// identify returns the client account that a configuration assigns to the caller; nil if the
// request needs none. If reason is not empty, the request needs one and has none.
func (e *exchange) identify(c *catalog.Config) (account *catalog.Account, reason string) {
	if !c.HasAccounts() || e.route.IsPublic {
		return nil, ""
	}
	if e.call.Key == "" {
		return nil, reasonNoKey
	}
	account = c.AccountOf(e.call.Key)
	if account == nil {
		return nil, reasonUnknownKey
	}
	return account, ""
}

// authenticate determines the caller's client account. If it returns false, it has answered
// the caller.
func (e *exchange) authenticate() bool {
	e.keyConfig = e.config
	account, reason := e.identify(e.config)
	if reason != "" {
		e.accountErr = &accountError{reason: reason, version: e.config.Version}
		e.respondNotAuthorized()
		return false
	}
	e.account, e.scope = account, newLedgerScope(e.config, account)
	return true
}

// isAuthorized checks the caller's key against the configuration that is now in force. A
// request that has failed the check stays refused.
func (e *exchange) isAuthorized() bool {
	current := e.relay.config.Load()
	if e.accountErr != nil || current == e.keyConfig {
		return e.accountErr == nil
	}
	account, reason := e.identify(current)
	switch {
	case reason != "":
		e.accountErr = &accountError{reason: reasonKeyRevoked, version: current.Version}
	case nameOf(account) != e.accountName():
		// What the ledger has of the request belongs to the account before.
		e.accountErr = &accountError{reason: reasonAccountChanged, version: current.Version}
	default:
		e.account, e.keyConfig = account, current
	}
	return e.accountErr == nil
}

// respondNotAuthorized answers a request that the configuration does not allow and that no
// target may have executed.
func (e *exchange) respondNotAuthorized() {
	e.lastErr = e.accountErr
	if e.accountErr.reason == reasonAccountChanged {
		// The key is valid, so the caller may come back with it.
		e.respondUnavailable(reasonAccountChanged, configRetryAfter)
		return
	}
	e.w.Header().Set("WWW-Authenticate", "Bearer")
	e.respond(http.StatusUnauthorized, e.accountErr.reason)
}

// hidesCredentials reports whether the caller's credentials are a key, which targets do not
// get.
func (e *exchange) hidesCredentials() bool {
	return e.account != nil || e.keyConfig.HasAccounts()
}

// accountName returns the name of the caller's client account, or the empty string.
func (e *exchange) accountName() string { return nameOf(e.account) }

func nameOf(a *catalog.Account) string {
	if a == nil {
		return ""
	}
	return a.Name
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
	return catalog.HashAccount(e.account.Name)
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
