package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
	"github.com/rhubarbsaddle/rhubarbsaddle/relay"
)

const (
	credentials   = "Authorization"
	accountHeader = "X-Rhubarbsaddle-Tenant"
)

// asAccount returns the headers of a caller with the key of an account that setAccounts added.
// It pretends to be another account.
func asAccount(name string, more ...string) []string {
	return append([]string{credentials, "Bearer key-" + name, accountHeader, "forged"}, more...)
}

// setAccounts applies a configuration with these accounts; publicPath needs none.
func (b *testbed) setAccounts(targets []*platformtest.Target, names ...string) {
	b.edit = func(c *catalog.Config) {
		c.RequireAccounts()
		for _, name := range names {
			require.NoError(b.t, c.AddAccount(catalog.Account{Name: name}, []string{"key-" + name}))
		}
		public := c.Routes[3]
		public.Name, public.Prefix, public.IsPublic = publicPath, publicPath, true
		c.Routes = append(c.Routes, public)
	}
	b.update(targets...)
}

const publicPath = "/public/"

// All requests ran, whatever key they had, and targets saw the keys.
func TestTargetsGetNameOfAccountInsteadOfKey(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.StreamEvents(2, 0, 0))
	var lines bytes.Buffer
	b := newTestbedWithOptions(t, relay.Options{Permits: newSharedBoard(), Log: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}}, newMemoryLedger(), target)
	require.Equal(t, http.StatusOK, b.call(idempotentPath, "x", asAccount("a")...).status)
	before := target.Requests()[0].Header
	assert.Equal(t, []string{"Bearer key-a", "forged"}, []string{before.Get(credentials), before.Get(accountHeader)}, "without accounts, headers pass as before")

	b.setAccounts([]*platformtest.Target{target}, "a")
	for credential, reason := range map[string]string{"": "no_key", "Bearer": "no_key", "Basic key-a": "no_key", "Bearer key-b": "unknown_key", "Bearer Key-a": "unknown_key"} {
		got := b.call(idempotentPath, "x", credentials, credential)
		assert.Equal(t, http.StatusUnauthorized, got.status, credential)
		assert.Equal(t, reason+"\n", got.body)
	}
	assert.Equal(t, http.StatusNotFound, b.call("/nowhere/", "x").status)
	for path, account := range map[string]string{idempotentPath: "a", nonIdempotentPath: "a", publicPath: ""} {
		require.Equal(t, http.StatusOK, b.call(path, "x", asAccount("a")...).status)
		requests := target.Requests()
		header := requests[len(requests)-1].Header
		assert.Equal(t, account, header.Get(accountHeader), path)
		assert.NotContains(t, fmt.Sprint(header), "key-a", path)
	}
	assert.Len(t, target.Requests(), 4)
	b.server.Close()
	assert.Contains(t, lines.String(), `"account":"a"`)
	assert.NotContains(t, lines.String(), "key-")

}

// An entry that knows no configuration cannot tell that a key is unknown.
func TestEntryWithoutConfigurationRefusesNoKey(t *testing.T) {
	r := relay.New(relay.Options{Dialect: platform.Dialect{}, Metrics: relay.NewMetrics(prometheus.NewRegistry()), Log: &log.Logger{Level: log.PanicLevel}})
	answer := httptest.NewRecorder()
	r.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, idempotentPath, nil))
	assert.Equal(t, http.StatusServiceUnavailable, answer.Code)
}

// A key that is revoked while its request is under way starts no further attempt.
func TestRevokedKeyStartsNoFurtherAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		first  http.HandlerFunc
		status int
		body   string
		broken bool
	}{
		"refused":            {idempotentPath, platformtest.RejectUnexecuted(http.StatusServiceUnavailable), http.StatusUnauthorized, "key_revoked\n", false},
		"lost":               {idempotentPath, platformtest.AbortConnection, http.StatusBadGateway, "answer_lost\n", false},
		"error":              {idempotentPath, platformtest.Respond(http.StatusInternalServerError, "oh"), http.StatusInternalServerError, "oh", false},
		"refused turn":       {storedTurnsPath, platformtest.RejectUnexecuted(http.StatusServiceUnavailable), http.StatusUnauthorized, "key_revoked\n", false},
		"interrupted stream": {resumablePath, platformtest.StreamEvents(5, 2, 0), http.StatusOK, "", true},
		"whole stream":       {resumablePath, platformtest.StreamEvents(5, 0, 0), http.StatusOK, events(1, 5), false},
	} {
		t.Run(name, func(t *testing.T) {
			var targets []*platformtest.Target
			for i := range 3 {
				targets = append(targets, platformtest.NewTarget(fmt.Sprint("i", i), nil))
			}
			b := newTestbed(t, targets...)
			b.setAccounts(targets, "a")
			for _, target := range targets {
				target.SetHandler(func(w http.ResponseWriter, r *http.Request) {
					b.setAccounts(targets, "b")
					c.first(w, r)
				})
			}
			got := b.call(c.path, "x", asAccount("a", program, "p", budget, "500", usage, "5,50")...)
			assert.Equal(t, 1, requestsOf(targets))
			assert.Equal(t, c.status, got.status)
			assert.Equal(t, c.broken, got.err != nil)
			if !c.broken {
				assert.Equal(t, c.body, got.body)
			}
			assert.Equal(t, http.StatusUnauthorized, b.call(c.path, "x", asAccount("a")...).status, "the connection is still open")
		})
	}
}

// The key of a request is revoked, or given to another account, while the request's body is
// still on its way.
func TestKeyIsCheckedAgainBeforeFirstAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*catalog.Config) error
		status int
	}{
		"kept":        {func(c *catalog.Config) error { return c.AddAccount(catalog.Account{Name: "a"}, []string{"key-a"}) }, http.StatusOK},
		"revoked":     {func(c *catalog.Config) error { return c.AddAccount(catalog.Account{Name: "a"}, nil) }, http.StatusUnauthorized},
		"moved":       {func(c *catalog.Config) error { return c.AddAccount(catalog.Account{Name: "b"}, []string{"key-a"}) }, http.StatusServiceUnavailable},
		"no accounts": {func(*catalog.Config) error { return nil }, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			target := platformtest.NewTarget("i1", platformtest.Respond(http.StatusOK, "yes"))
			b := newTestbed(t, target)
			b.setAccounts([]*platformtest.Target{target}, "a")
			body, rest := io.Pipe()
			req, err := http.NewRequest(http.MethodPost, b.server.URL+nonIdempotentPath, body)
			require.NoError(t, err)
			req.Host = host
			req.Header.Set(credentials, "Bearer key-a")
			go func() {
				_, _ = rest.Write([]byte("x"))
				for b.relay.Active() == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(50 * time.Millisecond)
				b.edit = func(config *catalog.Config) { assert.NoError(t, c.change(config)) }
				b.update(target)
				_ = rest.Close()
			}()
			answer, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			_ = answer.Body.Close()
			assert.Equal(t, c.status, answer.StatusCode)
		})
	}
}

// Retries and resumed streams are sent with the account's name too, and versions in quick
// succession drop no valid key.
func TestAccountOfRetriesDuringStormOfVersions(t *testing.T) {
	var targets []*platformtest.Target
	for i := range 4 {
		targets = append(targets, platformtest.NewTarget(fmt.Sprint("i", i), nil))
	}
	b := newTestbed(t, targets...)
	for _, target := range targets {
		var calls atomic.Int32
		target.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			b.setAccounts(targets, "a", r.Header.Get(platformtest.RequestID))
			breakAfter := 0
			switch {
			case r.URL.Path == idempotentPath && calls.Add(1)%2 == 1:
				platformtest.AbortConnection(w, r)
			case r.URL.Path == resumablePath && r.Header.Get(platformtest.LastEventID) == "":
				breakAfter = 2
			}
			platformtest.StreamEvents(5, breakAfter, 0)(w, r)
		})
	}
	b.setAccounts(targets, "a", "gone")
	for range 20 {
		for _, path := range []string{idempotentPath, resumablePath} {
			assert.NotContains(t, []int{http.StatusUnauthorized, http.StatusServiceUnavailable}, b.call(path, "x", asAccount("a")...).status)
			assert.Equal(t, http.StatusUnauthorized, b.call(path, "x", asAccount("gone")...).status)
		}
	}
	require.Greater(t, requestsOf(targets), 40, "there were retries")
	for _, target := range targets {
		for _, request := range target.Requests() {
			assert.Equal(t, []string{"a"}, request.Header[accountHeader])
		}
	}
}

// Any caller who knew a turn's id could continue it and read its text in the answer.
func TestTurnsAndBudgetsBelongToAccounts(t *testing.T) {
	targets := []*platformtest.Target{platformtest.NewTarget("i1", platformtest.StreamEvents(2, 0, 0))}
	shared := newMemoryLedger()
	old := newTestbedWithLedger(t, shared, targets...)
	budgeted := []string{program, "p", budget, "60", usage, "5,50"}
	require.NoError(t, old.callWithID("old", storedTurnsPath, "old", budgeted...).err)
	one := newTestbedWithLedger(t, shared, targets...)
	one.setAccounts(targets, "a", "b")
	require.NoError(t, one.callWithID("a1", storedTurnsPath, "secret,", asAccount("a", budgeted...)...).err)
	require.NoError(t, one.callWithID("public1", publicPath, "x").err)

	restarted := newTestbedWithLedger(t, shared, targets...)
	restarted.setAccounts(targets, "a", "b", "c")
	for name, c := range map[string]struct {
		path, account, previous string
		status                  int
	}{
		"own":                  {storedTurnsPath, "a", "a1", http.StatusOK},
		"of another account":   {storedTurnsPath, "b", "a1", http.StatusNotFound},
		"public":               {publicPath, "a", "public1", http.StatusOK},
		"of an account":        {publicPath, "a", "a1", http.StatusNotFound},
		"of a public route":    {storedTurnsPath, "a", "public1", http.StatusNotFound},
		"before accounts":      {storedTurnsPath, "a", "old", http.StatusServiceUnavailable},
		"public, before them":  {publicPath, "a", "old", http.StatusServiceUnavailable},
		"cannot be determined": {storedTurnsPath, "a", "unreadable", http.StatusServiceUnavailable},
	} {
		shared.unreadable = "unreadable"
		sent := len(targets[0].Requests())
		assert.Equal(t, c.status, restarted.call(c.path, "x", asAccount(c.account, previousTurn, c.previous)...).status, name)
		requests := targets[0].Requests()
		assert.Equal(t, c.status == http.StatusOK, len(requests) > sent, name)
	}
	assert.Equal(t, http.StatusPaymentRequired, restarted.call(storedTurnsPath, "x", asAccount("a", budgeted...)...).status)
	assert.Equal(t, http.StatusOK, restarted.call(storedTurnsPath, "x", asAccount("b", budgeted...)...).status, "another account's program of that name")
}

// askedPermits calls asked before it grants a permit, which may be used after wait.
type askedPermits struct {
	asked func()
	wait  time.Duration
}

func (p *askedPermits) AcquirePermit(context.Context, uint64, float64, time.Duration) (loadboard.Permit, error) {
	p.asked()
	return loadboard.Permit{Granted: true, Wait: p.wait}, nil
}

// A key is revoked after a target has been chosen, while the request waits for its permit.
func TestKeyRevokedDuringWaitForPermit(t *testing.T) {
	target := platformtest.NewTarget("i1", nameLimit("1000", platformtest.StreamEvents(2, 0, 0)))
	permits := &askedPermits{}
	b := newTestbedWithPermits(t, newMemoryLedger(), permits, target)
	for _, path := range []string{idempotentPath, nonIdempotentPath, resumablePath, storedTurnsPath} {
		b.setAccounts([]*platformtest.Target{target}, "a")
		permits.asked = func() {}
		require.Equal(t, http.StatusOK, b.call(path, "x", asAccount("a")...).status)
		sent := len(target.Requests())
		permits.asked = func() { b.setAccounts([]*platformtest.Target{target}, "b") }
		assert.Equal(t, http.StatusUnauthorized, b.call(path, "x", asAccount("a")...).status, path)
		assert.Len(t, target.Requests(), sent)
	}
}
