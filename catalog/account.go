package catalog

import (
	"crypto/sha256"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Account is a client account: the party that a request is made for.
type Account struct {
	// Name identifies the account, also towards targets.
	Name string
	// Priority takes precedence over the priority of the route if HasPriority is set; 0 is
	// the most urgent.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// HashAccount returns a hash of an account's name, the same in all processes. It is never 0.
func HashAccount(name string) uint64 { return max(1, xxhash.Sum64String(name)) }

// Quota bounds the requests of an account at all entries together.
type Quota struct {
	// PerSecond is the number of requests per second; 0 means no limit. Burst is how many
	// more may arrive at once.
	PerSecond, Burst float64
}

// IsLimited reports whether there is a limit.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// keyDigest stands for a key, so that a configuration in memory holds no key in clear and a
// lookup takes the same time for all keys.
type keyDigest [sha256.Size]byte

// AccountError reports an account that cannot be part of a configuration. It contains no key.
type AccountError struct {
	Account string
	Reason  string
}

// Error returns the account and the reason.
func (e *AccountError) Error() string { return fmt.Sprintf("account %q: %s", e.Account, e.Reason) }

// RequireAccounts makes all requests need an account's key, except those of public routes.
func (c *Config) RequireAccounts() {
	if c.accountByKey == nil {
		c.accountByKey = make(map[keyDigest]*Account)
	}
}

// HasAccounts reports whether requests need an account's key.
func (c *Config) HasAccounts() bool { return c.accountByKey != nil }

// AddAccount adds an account with its keys.
func (c *Config) AddAccount(a Account, keys []string) error {
	c.RequireAccounts()
	if a.Name == "" {
		return &AccountError{Reason: "the name is empty"}
	}
	for _, other := range c.Accounts {
		if other.Name == a.Name {
			return &AccountError{Account: a.Name, Reason: "the name is used twice"}
		}
	}
	if a.Quota.PerSecond < 0 || a.Quota.Burst < 0 {
		return &AccountError{Account: a.Name, Reason: fmt.Sprintf("rate %v or burst %v is negative", a.Quota.PerSecond, a.Quota.Burst)}
	}
	account := &a
	for _, key := range keys {
		digest := keyDigest(sha256.Sum256([]byte(key)))
		if key == "" {
			return &AccountError{Account: a.Name, Reason: "a key is empty"}
		}
		if holder := c.accountByKey[digest]; holder != nil && holder != account {
			return &AccountError{Account: a.Name, Reason: fmt.Sprintf("one of its keys is also held by %q", holder.Name)}
		}
		c.accountByKey[digest] = account
	}
	c.Accounts = append(c.Accounts, account)
	return nil
}

// AccountOf returns the account that holds a key, or nil.
func (c *Config) AccountOf(key string) *Account {
	if key == "" {
		return nil
	}
	return c.accountByKey[keyDigest(sha256.Sum256([]byte(key)))]
}
