package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/standin/kv"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/ports"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/vmlist"
)

const eventuallyTimeout = 30 * time.Second

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	port, err := ports.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, port.Close()) })
	return port.Addr()
}

// writeSettings starts stand-ins of the platform's services and writes the settings
// file of an entry.
func writeSettings(t *testing.T, operators string) string {
	store := kv.NewServer(kv.Options{})
	storeAddr, err := store.Start("127.0.0.1:0")
	require.NoError(t, err)
	vms := vmlist.NewServer(0)
	vmAddr, err := vms.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() {
		store.Close()
		vms.Close()
	})
	file := filepath.Join(t.TempDir(), "entry.yaml")
	text := fmt.Sprintf(`vm: entry-1
domain: milano-a
role: entry
listen: {callers: %q, peers: %q, operators: %q}
store: {endpoints: [%q], prefix: test/}
vm_list: {url: "http://%s/vms"}
`, freeAddr(t), freeAddr(t), operators, storeAddr, vmAddr)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func runCommand(args ...string) (int, string, string) {
	var out, err bytes.Buffer
	code := Run(context.Background(), append([]string{"rhubarbsaddle"}, args...), &out, &err)
	return code, out.String(), err.String()
}

func TestEntryStatusAndDrain(t *testing.T) {
	operators := freeAddr(t)
	file := writeSettings(t, operators)
	exitCode := make(chan int, 1)
	logs := make(chan string, 1)
	go func() {
		code, _, log := runCommand("entry", "--settings", file)
		logs <- log
		exitCode <- code
	}()
	require.Eventually(t, func() bool {
		code, _, _ := runCommand("status", "--node", operators)
		return code == ExitOK
	}, eventuallyTimeout, 10*time.Millisecond)
	_, table, _ := runCommand("status", "--node", operators, "--slots")
	require.Contains(t, table, "entry-1")
	_, text, _ := runCommand("status", "--json", "--node", operators)
	var all []nodeStatus
	require.NoError(t, json.Unmarshal([]byte(text), &all))
	require.Equal(t, "milano-a", all[0].Status.Domain)
	code, _, _ := runCommand("drain", "--node", operators)
	require.Equal(t, ExitOK, code)
	select {
	case code := <-exitCode:
		require.Equal(t, ExitOK, code)
	case <-time.After(eventuallyTimeout):
		t.Fatal("the drained entry did not exit")
	}
	for _, line := range bytes.Split(bytes.TrimSpace([]byte(<-logs)), []byte("\n")) {
		require.True(t, json.Valid(line), "%s", line)
	}
}

func TestDaemonRejectsSettingsOfAnotherRole(t *testing.T) {
	file := writeSettings(t, freeAddr(t))
	code, _, text := runCommand("sidecar", "--settings", file)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, text, "role is entry")
}

func TestCommandsFailForUnreachableNode(t *testing.T) {
	code, table, text := runCommand("status", "--node", freeAddr(t))
	require.Equal(t, ExitFailed, code)
	require.Contains(t, table, "unreachable")
	require.Contains(t, text, "status 127.0.0.1")
	code, _, _ = runCommand("drain", "--node", freeAddr(t))
	require.Equal(t, ExitFailed, code)
}
