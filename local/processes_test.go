package local_test

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/cli"
	"github.com/rhubarbsaddle/rhubarbsaddle/config/load"
	"github.com/rhubarbsaddle/rhubarbsaddle/front"
	"github.com/rhubarbsaddle/rhubarbsaddle/local"
)

// daemonMark in the environment makes the test binary act as the product's.
const daemonMark = "RHUBARBSADDLE_TEST_DAEMON"

// processPatience bounds waits that end long before in a sound program.
const processPatience = 90 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(daemonMark) == "1" {
		os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// book makes one non-idempotent call and returns the status.
func book(ctx context.Context, e *local.VM, key string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+"/pitches/7", strings.NewReader("book"))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer circuit-demo-key")
	req.Header.Set(front.HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// TestProcessesKilledById runs each daemon as a process of its own and ends
// them by their ids: the entry that took a call while it runs, then another
// one. The caller's repetitions get the one execution.
func TestProcessesKilledById(t *testing.T) {
	t.Setenv(daemonMark, "1")
	binary, err := os.Executable()
	require.NoError(t, err)
	set, err := load.Set("../examples/bancarella")
	require.NoError(t, err)
	set.Ownership.Slots = 8
	ctx, cancel := context.WithTimeout(context.Background(), processPatience)
	defer cancel()
	d, err := local.Start(ctx, local.Options{
		Config: set, EntriesPerDomain: 2, Binary: binary, ProcessDir: t.TempDir(),
		Targets:  map[string]int{"pitch-services": 1},
		ToolTime: 300 * time.Millisecond,
	})
	require.NoError(t, err)
	t.Cleanup(d.Close)
	entries, tool := d.Entries(), d.Tools()[0].Server
	require.NotZero(t, entries[0].PID())
	require.NotEqual(t, entries[0].PID(), entries[1].PID())

	first := make(chan error, 1)
	go func() {
		_, err := book(ctx, entries[0], "k1")
		first <- err
	}()
	require.Eventually(t, func() bool { return tool.Executions("k1") == 1 }, processPatience, 5*time.Millisecond)
	entries[0].Kill()
	require.Error(t, <-first, "the connection ends with the process")
	for i, at := range []*local.VM{entries[1], entries[2]} {
		require.Eventually(t, func() bool {
			status, err := book(ctx, at, "k1")
			return err == nil && status == http.StatusOK
		}, processPatience, 100*time.Millisecond)
		if i == 0 {
			at.Kill()
		}
	}
	require.Equal(t, 1, tool.Executions("k1"))
}
