package relay

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
)

// scopeSeparator ends the account's name in the ids of the ledger. HTTP headers, from which
// callers' ids are, cannot contain it.
const scopeSeparator = "\x1f"

const (
	// maxIDBytes is the size above which an id of a caller is replaced by its hash, since ledger
	// members hold ids in memory as long as programs and turns are kept.
	maxIDBytes = 128
	// hashedIDPrefix begins the ids that stand for longer ones.
	hashedIDPrefix = "sha256:"
)

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
	if len(id) > maxIDBytes {
		hash := sha256.Sum256([]byte(id))
		id = hashedIDPrefix + hex.EncodeToString(hash[:])
	}
	return s.prefix + id
}

// isScopable reports whether qualified ids are distinct from all others.
func isScopable(id string) bool { return !strings.Contains(id, scopeSeparator) }
