package front

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// keyring finds accounts by their API keys. It is built once for each
// configuration.
type keyring struct {
	set      *config.Set
	accounts map[[sha256.Size]byte]*config.Account
}

func newKeyring(set *config.Set) *keyring {
	k := &keyring{set: set, accounts: make(map[[sha256.Size]byte]*config.Account)}
	for i := range set.Accounts {
		raw, err := hex.DecodeString(set.Accounts[i].KeySHA256)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		k.accounts[[sha256.Size]byte(raw)] = &set.Accounts[i]
	}
	return k
}

// find returns the account of a key, or nil. It looks up the key's digest and
// compares digests in constant time, so that timing reveals nothing about the
// key.
func (k *keyring) find(key string) *config.Account {
	digest := sha256.Sum256([]byte(key))
	account := k.accounts[digest]
	if account == nil {
		return nil
	}
	want, err := hex.DecodeString(account.KeySHA256)
	if err != nil || subtle.ConstantTimeCompare(want, digest[:]) != 1 {
		return nil
	}
	return account
}

// keyrings caches the keyring of the active configuration.
type keyrings struct{ current atomic.Pointer[keyring] }

func (k *keyrings) forConfig(set *config.Set) *keyring {
	if ring := k.current.Load(); ring != nil && ring.set == set {
		return ring
	}
	ring := newKeyring(set)
	k.current.Store(ring)
	return ring
}

// authenticate returns the active configuration and the account whose bearer
// key the request carries.
func (s *Server) authenticate(r *http.Request) (*config.Set, *config.Account, *APIError) {
	set := s.options.Backend.Config()
	if set == nil {
		apiErr := apiErrorf("authenticate", reasonNoConfig, "no configuration is in force yet")
		apiErr.retryAfter = core.Second
		return nil, nil, apiErr
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, nil, apiErrorf("authenticate", core.ReasonUnauthorized, "the request has no bearer key")
	}
	account := s.keys.forConfig(set).find(strings.TrimSpace(key))
	if account == nil {
		return nil, nil, apiErrorf("authenticate", core.ReasonUnauthorized, "the key belongs to no account")
	}
	return set, account, nil
}
