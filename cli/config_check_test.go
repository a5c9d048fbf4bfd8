package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	soundConfig = `{"version": 2, "routes": [{"name": "a", "host": "h", "prefix": "/a/", "type": "idempotent", "service": "s"}],
"services": [{"name": "s"}], "tenants": [{"name": "x", "api_keys": ["secret-1"], "rate_per_s": 5}]}`
	earlierConfig = `{"version": 1, "routes": [{"name": "a", "host": "h", "prefix": "/a/", "type": "idempotent", "service": "s"}],
"services": [{"name": "s"}], "tenants": [{"name": "x", "api_keys": ["secret-1", "secret-2"], "rate_per_s": 9}]}`
	brokenConfig = `{"version": 2, "routes": [{"name": "a", "host": "h", "prefix": "/a", "type": "idempotent", "service": "s"}],
"services": [{"name": "s"}]}`
	contradictingConfig = `{"version": 2, "tenants": [{"name": "x", "api_keys": ["secret-1"]}, {"name": "y", "api_keys": ["secret-1"]}]}`
)

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestConfigCheckTellsWhetherAConfigurationCanBeSent(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		code int
		want string
	}{
		"sound":         {soundConfig, ExitOK, "0 findings"},
		"broken":        {brokenConfig, ExitFailed, ":1: error: routes[0].prefix: "},
		"contradicting": {contradictingConfig, ExitUsage, `account "y": one of its keys is also held by "x"`},
		"cut":           {`{"version": `, ExitUsage, "line 1"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errs := runCommand("config", "check", writeConfig(t, test.text))
			assert.Equal(t, test.code, code, errs)
			assert.Contains(t, out+errs, test.want)
			assert.NotContains(t, out+errs, "secret")
		})
	}
}

func TestConfigCheckListsWhatDiffersFromTheVersionInForce(t *testing.T) {
	earlier, next := writeConfig(t, earlierConfig), writeConfig(t, soundConfig)
	code, out, errs := runCommand("config", "check", "--against", earlier, next)
	assert.Equal(t, ExitOK, code, errs)
	assert.Contains(t, out, "~ tenants[0].api_keys x: 1 keys are taken away (touches: callers with them get 401)")
	assert.Contains(t, out, "~ tenants[0].rate_per_s x: 9 a second, burst 0 -> 5 a second, burst 0")
	assert.NotContains(t, out, "secret")

	code, out, _ = runCommand("config", "check", "--json", "--against", next, earlier)
	assert.Equal(t, ExitFailed, code, "an older version does not come into force")
	var report configReport
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	assert.Len(t, report.Findings, 1)
	assert.Len(t, report.Changes, 2)
}

func TestStrictConfigCheckFailsOnWarnings(t *testing.T) {
	path := writeConfig(t, `{"version": 1, "services": [{"name": "unused"}]}`)
	code, _, _ := runCommand("config", "check", path)
	assert.Equal(t, ExitOK, code)
	code, _, _ = runCommand("config", "check", "--strict", path)
	assert.Equal(t, ExitFailed, code)
}
