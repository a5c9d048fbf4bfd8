package vmlist

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

var example = []core.VMInfo{
	{VM: "e1", Domain: "milano-a", Role: core.RoleEntry, Addr: "10.0.0.1:7000"},
	{VM: "s1", Domain: "torino-c", Role: core.RoleSidecar, Pool: "assistant", Leaving: true, Addr: "[::1]:7000"},
}

func TestFormatAndParse(t *testing.T) {
	data, err := Format(example)
	require.NoError(t, err)
	vms, err := Parse(data)
	require.NoError(t, err)
	require.Equal(t, example, vms)
}

func TestParseErrors(t *testing.T) {
	vm := func(fields string) string { return `{"vms":[{` + fields + `}]}` }
	tests := []struct{ list, want string }{
		{`[]`, "parse VM list: json"},
		{`{}`, `parse VM list: "vms" is missing`},
		{vm(`"id":"a","domain":"d","role":"x","state":"live","address":"1.2.3.4:5"`), `vms[0]: role "x"`},
		{vm(`"id":"a","domain":"d","role":"entry","state":"gone","address":"1.2.3.4:5"`), `vms[0]: state "gone"`},
		{vm(`"domain":"d","role":"entry","state":"live","address":"1.2.3.4:5"`), "vms[0]: id is missing"},
		{vm(`"id":"a","role":"entry","state":"live","address":"1.2.3.4:5"`), "vms[0]: domain is missing"},
		{vm(`"id":"a","domain":"d","role":"sidecar","state":"live","address":"1.2.3.4:5"`), "vms[0]: a sidecar's pool"},
		{vm(`"id":"a","domain":"d","role":"entry","state":"live","address":"host:5"`), `vms[0]: address "host:5"`},
		{`{"vms":[{"id":"a","domain":"d","role":"entry","state":"live","address":"1.2.3.4:5"},
			{"id":"a","domain":"d","role":"entry","state":"live","address":"1.2.3.4:6"}]}`, `vms[1]: id "a" is listed twice`},
	}
	for _, tt := range tests {
		_, err := Parse([]byte(tt.list))
		var e *Error
		require.ErrorAs(t, err, &e, tt.list)
		require.Contains(t, err.Error(), tt.want)
	}
}

func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vms.json")
	_, err := File{Path: path}.Read(t.Context())
	require.ErrorIs(t, err, os.ErrNotExist)
	data, err := Format(example)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, data, 0o600))
	vms, err := File{Path: path}.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, example, vms)
	require.NoError(t, os.WriteFile(path, []byte("{"), 0o600))
	_, err = File{Path: path}.Read(t.Context())
	require.ErrorContains(t, err, path)
}

func FuzzParse(f *testing.F) {
	data, err := Format(example)
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"vms":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		vms, err := Parse(data)
		if err != nil {
			return
		}
		formatted, err := Format(vms)
		require.NoError(t, err)
		reparsed, err := Parse(formatted)
		require.NoError(t, err)
		require.Equal(t, vms, reparsed)
	})
}
