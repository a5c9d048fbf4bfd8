package load

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
)

func TestExampleSetsLoad(t *testing.T) {
	for _, name := range []string{"bancarella", "manizales"} {
		set, err := Set(filepath.Join("..", "..", "examples", name))
		require.NoError(t, err)
		require.Equal(t, name, set.Deployment)
		require.EqualValues(t, 64, set.Ownership.Slots)
		require.Equal(t, config.Duration(500*time.Millisecond), set.Ownership.Heartbeat)
		require.NotEmpty(t, set.Pools)
	}
}

// copyExample copies an example set and replaces a text in one of its files.
func copyExample(t *testing.T, file, old, new string) string {
	t.Helper()
	dir := t.TempDir()
	from := filepath.Join("..", "..", "examples", "bancarella")
	entries, err := os.ReadDir(from)
	require.NoError(t, err)
	for _, e := range entries {
		data, err := os.ReadFile(filepath.Join(from, e.Name()))
		require.NoError(t, err)
		text := string(data)
		if e.Name() == file {
			require.Contains(t, text, old)
			text = strings.Replace(text, old, new, 1)
		}
		require.NoError(t, os.WriteFile(filepath.Join(dir, e.Name()), []byte(text), 0o600))
	}
	return dir
}

func TestSetErrorsNameFileLineAndField(t *testing.T) {
	tests := []struct {
		name, file, old, new string
		want                 []string
	}{
		{"misspelt field", "pools.yaml", "checks_fence", "check_fence", []string{"pools.yaml:7", "check_fence", "is not a known field"}},
		{"wrong unit", "deployment.yaml", "500ms", "500", []string{"deployment.yaml:13", "is not a duration with a unit"}},
		{"unknown policy", "pools.yaml", "order: las", "order: lifo", []string{"pools.yaml:8", "pools[0].policy.order", `"lifo" is not known`}},
		{"cache admission without affinity placement", "pools.yaml", "placement: cost", "placement: two_choices", []string{"pools.yaml:8", "pools[0].policy.admission", "moves programs"}},
		{"undeclared pool", "programs.yaml", "[booking, pitch", "[bookings, pitch", []string{"programs.yaml:3", `pool "bookings" is not declared`}},
		{"missing domains", "deployment.yaml", "domains:", "#", []string{"deployment.yaml"}},
		{"bad key digest", "accounts.yaml", "key_sha256: ", "key_sha256: zz", []string{"accounts.yaml:4", "accounts[0].key_sha256", "sha256sum"}},
		{"field in two files", "pools.yaml", "tools:", "deployment: again\ntools:", []string{"deployment", "is set in"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Set(copyExample(t, tt.file, tt.old, tt.new))
			require.Error(t, err)
			for _, want := range tt.want {
				require.ErrorContains(t, err, want)
			}
		})
	}
}

const goodNode = `vm: mi-a-entry-01
domain: milano-a
role: entry
listen: {callers: "127.0.0.1:8080", peers: "127.0.0.1:7000", operators: "127.0.0.1:9000"}
store: {endpoints: ["127.0.0.1:2379"], prefix: rhubarbsaddle/}
vm_list: {url: "http://127.0.0.1:2400/vms"}
`

func TestNodeErrorsNameTheField(t *testing.T) {
	_, err := NodeBytes("node.yaml", []byte(goodNode))
	require.NoError(t, err)
	tests := []struct{ name, old, new, want string }{
		{"host name", "127.0.0.1:7000", "localhost:7000", `node.yaml:4: listen.peers: "localhost:7000" is not an IP address and port`},
		{"no domain", "domain: milano-a\n", "", "node.yaml: domain: is missing"},
		{"unknown role", "role: entry", "role: router", `node.yaml:3: role: "router" is not known`},
		{"no VM list", "vm_list", "log: {level: info}\n#", "vm_list: needs exactly one source"},
		{"sidecar without target", "role: entry", "role: sidecar", "target.pool: is missing"},
		{"target of unknown kind", "role: entry", "role: sidecar\ntarget: {pool: a, kind: disk, address: \"127.0.0.1:1\"}", `target.kind: "disk" is not known`},
		{"broken YAML", "role: entry", "role: [entry", "node.yaml"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NodeBytes("node.yaml", []byte(strings.Replace(goodNode, tt.old, tt.new, 1)))
			require.ErrorContains(t, err, tt.want)
		})
	}
}

func FuzzSetBytes(f *testing.F) {
	f.Add([]byte("deployment: x\npools:\n  - name: a\n"))
	f.Add([]byte("ownership: {slots: 1e9, heartbeat: 5}"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := SetBytes("fuzz", data)
		if err == nil {
			require.Empty(t, set.Check())
		}
	})
}
