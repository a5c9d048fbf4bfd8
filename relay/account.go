package relay

import "net/http"

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
