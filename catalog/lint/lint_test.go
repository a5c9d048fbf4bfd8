package lint_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/catalog/lint"
)

// newConfig returns a configuration without findings, changed by the given function.
func newConfig(t *testing.T, change func(*catalog.Config)) *catalog.Config {
	t.Helper()
	c := &catalog.Config{
		Version: 7,
		Services: map[string]catalog.Service{
			"engines": {Name: "engines", Engine: &catalog.Engine{Slots: 8, CacheTokens: 1000, TokensPerEvent: 20}},
			"tools":   {Name: "tools"},
		},
		Routes: []catalog.Route{
			{Name: "chat", Host: "h.example", Prefix: "/chat/", Kind: catalog.Streaming, Shares: []catalog.Share{{Service: "engines", Weight: 1}},
				Timeout: 4 * time.Second, LatencyTarget: 200 * time.Millisecond, MaxEventGap: 400 * time.Millisecond, MaxTargets: 1, StoresTurns: true, Retention: time.Minute},
			{Name: "tool", Host: "h.example", Prefix: "/tool/", Kind: catalog.Idempotent, Shares: []catalog.Share{{Service: "tools", Weight: 1}}, Timeout: time.Second, MaxTargets: 2},
		},
	}
	require.NoError(t, c.AddAccount(catalog.Account{Name: "a", Quota: catalog.Quota{PerSecond: 5, Burst: 5}}, []string{"key-a"}))
	if change != nil {
		change(c)
	}
	return c
}

func TestSoundConfigurationHasNoFindings(t *testing.T) {
	assert.Empty(t, lint.Check(newConfig(t, nil)))
}

func TestFindings(t *testing.T) {
	for name, test := range map[string]struct {
		change   func(*catalog.Config)
		severity lint.Severity
		subject  lint.Subject
		text     string
	}{
		"no version":         {func(c *catalog.Config) { c.Version = 0 }, lint.Error, lint.Subject{Field: lint.Version}, "not positive"},
		"shadowed route":     {func(c *catalog.Config) { c.Routes[1].Prefix = "/chat/" }, lint.Error, lint.Subject{Kind: lint.RouteEntry, Index: 1, Name: "tool", Field: lint.Prefix}, "never matches"},
		"host with a port":   {func(c *catalog.Config) { c.Routes[0].Host = "h.example:80" }, lint.Error, lint.Subject{Kind: lint.RouteEntry, Name: "chat", Field: lint.Host}, "port"},
		"no host":            {func(c *catalog.Config) { c.Routes[0].Host = "" }, lint.Error, lint.Subject{Kind: lint.RouteEntry, Name: "chat", Field: lint.Host}, "empty"},
		"prefix":             {func(c *catalog.Config) { c.Routes[0].Prefix = "/chat" }, lint.Error, lint.Subject{Kind: lint.RouteEntry, Name: "chat", Field: lint.Prefix}, "slash"},
		"name twice":         {func(c *catalog.Config) { c.Routes[1].Name = "chat" }, lint.Error, lint.Subject{Kind: lint.RouteEntry, Index: 1, Name: "chat"}, "twice"},
		"undeclared service": {func(c *catalog.Config) { c.Routes[1].Shares[0].Service = "x" }, lint.Error, lint.Subject{Kind: lint.RouteEntry, Index: 1, Name: "tool", Field: lint.Services}, "not declared"},
		"no service":         {func(c *catalog.Config) { c.Routes[1].Shares = nil }, lint.Error, lint.Subject{Kind: lint.RouteEntry, Index: 1, Name: "tool", Field: lint.Services}, "no service"},
		"negative weight":    {func(c *catalog.Config) { c.Routes[1].Shares[0].Weight = -1 }, lint.Error, lint.Subject{Kind: lint.RouteEntry, Index: 1, Name: "tool", Field: lint.Services}, "negative"},
		"weight of 0": {func(c *catalog.Config) {
			c.Routes[1].Shares = append(c.Routes[1].Shares, catalog.Share{Service: "engines"})
		}, lint.Warning, lint.Subject{Kind: lint.RouteEntry, Index: 1, Name: "tool", Field: lint.Services}, "weight is 0"},
		"timeout under objective": {func(c *catalog.Config) { c.Routes[0].Timeout = 100 * time.Millisecond }, lint.Error, lint.Subject{Kind: lint.RouteEntry, Name: "chat", Field: lint.Timeout}, "below the objective"},
		"gap over timeout":        {func(c *catalog.Config) { c.Routes[0].MaxEventGap = time.Minute }, lint.Warning, lint.Subject{Kind: lint.RouteEntry, Name: "chat", Field: lint.MaxEventGap}, "above the timeout"},
		"short retention":         {func(c *catalog.Config) { c.Routes[0].Retention = time.Second }, lint.Error, lint.Subject{Kind: lint.RouteEntry, Name: "chat", Field: lint.Retention}, "turns are kept"},
		"negative time":           {func(c *catalog.Config) { c.Routes[1].Timeout = -1 }, lint.Error, lint.Subject{Kind: lint.RouteEntry, Index: 1, Name: "tool", Field: lint.Timeout}, "negative"},
		"attempts":                {func(c *catalog.Config) { c.Routes[0].MaxTargets = 3 }, lint.Warning, lint.Subject{Kind: lint.RouteEntry, Name: "chat", Field: lint.MaxTargets}, "once only"},
		"resumable tool":          {func(c *catalog.Config) { c.Routes[1].Resumable = true }, lint.Warning, lint.Subject{Kind: lint.RouteEntry, Index: 1, Name: "tool", Field: lint.Resumable}, "only streams"},
		"turns of a tool": {func(c *catalog.Config) {
			c.Routes[1].StoresTurns, c.Routes[1].Retention = true, time.Minute
		}, lint.Error, lint.Subject{Kind: lint.RouteEntry, Index: 1, Name: "tool", Field: lint.StoresTurns}, "only streams"},
		"public turns":   {func(c *catalog.Config) { c.Routes[0].IsPublic = true }, lint.Warning, lint.Subject{Kind: lint.RouteEntry, Name: "chat", Field: lint.StoresTurns}, "no account"},
		"unused service": {func(c *catalog.Config) { c.Services["old"] = catalog.Service{Name: "old"} }, lint.Warning, lint.Subject{Kind: lint.ServiceEntry, Name: "old"}, "no route"},
		"no slots":       {func(c *catalog.Config) { c.Services["engines"].Engine.Slots = 0 }, lint.Error, lint.Subject{Kind: lint.ServiceEntry, Name: "engines", Field: lint.Slots}, "runs nothing"},
		"no cache":       {func(c *catalog.Config) { c.Services["engines"].Engine.CacheTokens = 0 }, lint.Warning, lint.Subject{Kind: lint.ServiceEntry, Name: "engines", Field: lint.CacheTokens}, "cache"},
		"negative body":  {func(c *catalog.Config) { c.Limits.BodyBytes = -1 }, lint.Error, lint.Subject{Field: lint.BodyBytes}, "negative"},
		"burst alone":    {func(c *catalog.Config) { c.Accounts[0].Quota.PerSecond = 0 }, lint.Warning, lint.Subject{Kind: lint.AccountEntry, Name: "a", Field: lint.Burst}, "no effect"},
		"no request": {func(c *catalog.Config) {
			c.Accounts[0].Quota = catalog.Quota{PerSecond: 0.2}
		}, lint.Error, lint.Subject{Kind: lint.AccountEntry, Name: "a", Field: lint.Rate}, "never allow"},
		"negative priority": {func(c *catalog.Config) {
			c.Accounts[0].Priority, c.Accounts[0].HasPriority = -1, true
		}, lint.Error, lint.Subject{Kind: lint.AccountEntry, Name: "a", Field: lint.Priority}, "negative"},
	} {
		t.Run(name, func(t *testing.T) {
			found := lint.Check(newConfig(t, test.change))
			require.NotEmpty(t, found)
			match := lint.Finding{}
			for _, f := range found {
				if f.Subject == test.subject && strings.Contains(f.Text, test.text) {
					match = f
				}
			}
			assert.Equal(t, test.severity, match.Severity, "%+v", found)
		})
	}
}

func TestAccountWithoutKeysIsReported(t *testing.T) {
	c := newConfig(t, nil)
	require.NoError(t, c.AddAccount(catalog.Account{Name: "b"}, nil))
	assert.Equal(t, []lint.Finding{{Severity: lint.Warning, Subject: lint.Subject{Kind: lint.AccountEntry, Name: "b", Field: lint.Keys},
		Text: "the account has no key, so nobody can use it"}}, lint.Check(c))
}

func TestCompareTellsWhomAChangeTouches(t *testing.T) {
	old := newConfig(t, nil)
	next := newConfig(t, func(c *catalog.Config) {
		c.Version = 8
		c.Accounts = nil
		c.Routes[0].Timeout = 5 * time.Second
		c.Routes[1].Name = "other"
		delete(c.Services, "tools")
		c.Services["extra"] = catalog.Service{Name: "extra"}
	})
	require.NoError(t, next.AddAccount(catalog.Account{Name: "a2", Quota: catalog.Quota{PerSecond: 1, Burst: 1}}, []string{"key-a2"}))
	changes, findings := lint.Compare(old, next)
	assert.Empty(t, findings)
	var lines []string
	for _, c := range changes {
		lines = append(lines, c.Sign+" "+c.Subject.Name+" "+c.Text)
	}
	assert.ElementsMatch(t, []string{
		"~ chat 4s -> 5s", "+ other h.example/tool/", "- tool h.example/tool/", "+ extra service", "- tools service",
		"+ a2 account with 1 keys", "- a account with 1 keys",
	}, lines)
}

func TestCompareCountsKeysAndQuotas(t *testing.T) {
	old, next := &catalog.Config{Version: 1}, &catalog.Config{Version: 1}
	require.NoError(t, old.AddAccount(catalog.Account{Name: "a", Quota: catalog.Quota{PerSecond: 5, Burst: 5}}, []string{"k1", "k2"}))
	require.NoError(t, next.AddAccount(catalog.Account{Name: "a", Quota: catalog.Quota{PerSecond: 1, Burst: 5}}, []string{"k2", "k3", "k4"}))
	changes, findings := lint.Compare(old, next)
	require.Len(t, changes, 3)
	assert.Equal(t, "1 keys are taken away", changes[0].Text)
	assert.Equal(t, "2 keys are added", changes[1].Text)
	assert.Equal(t, "5 a second, burst 5 -> 1 a second, burst 5", changes[2].Text)
	require.Len(t, findings, 1, "the same version would not come into force")
	assert.True(t, lint.HasErrors(findings))
}
