package relay

import (
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
)

// scopeSeparator ends the account's name in the ids of the ledger. HTTP headers, from which
// callers' ids are, cannot contain it.
const scopeSeparator = "\x1f"

// ledgerScope qualifies the ids of programs and turns in the ledger, so that each client
// account has its own. It is fixed when the request arrives.
type ledgerScope struct{ prefix string }

// newLedgerScope returns the scope of an account. Requests of public routes share one that no
// account has; without accounts ids are not qualified.
func newLedgerScope(c *catalog.Config, a *catalog.Account) ledgerScope {
	if !c.HasAccounts() {
		return ledgerScope{}
	}
	return ledgerScope{prefix: nameOf(a) + scopeSeparator}
}

func (s ledgerScope) isQualified() bool { return s.prefix != "" }

// qualify returns the id in the ledger for an id of the caller. No id has none.
func (s ledgerScope) qualify(id string) string {
	if id == "" {
		return ""
	}
	return s.prefix + id
}

// isScopable reports whether qualified ids are distinct from all others.
func isScopable(id string) bool { return !strings.Contains(id, scopeSeparator) }
