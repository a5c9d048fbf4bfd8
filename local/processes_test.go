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

// daemonEnv is the environment variable that makes the test binary run the
// product's command line.
const daemonEnv = "RHUBARBSADDLE_TEST_DAEMON"

// eventuallyTimeout limits waits for conditions that are expected to come true
// much earlier.
const eventuallyTimeout = 90 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(daemonEnv) == "1" {
		os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// bookOnce makes a non-idempotent call and returns the HTTP status.
func bookOnce(ctx context.Context, e *local.VM, key string) (int, error) {
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

// TestRetriesSurviveKilledProcesses runs each daemon in its own process and kills
// the ingress entry of a call during its execution, then another entry. The
// caller's retries must receive the result of the only execution.
func TestRetriesSurviveKilledProcesses(t *testing.T) {
	t.Setenv(daemonEnv, "1")
	binary, err := os.Executable()
	require.NoError(t, err)
	set, err := load.Set("../examples/bancarella")
	require.NoError(t, err)
	set.Ownership.Slots = 8
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
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
		_, err := bookOnce(ctx, entries[0], "k1")
		first <- err
	}()
	require.Eventually(t, func() bool { return tool.Executions("k1") == 1 }, eventuallyTimeout, 5*time.Millisecond)
	entries[0].Kill()
	require.Error(t, <-first, "killing the process closes the connection")
	for i, target := range []*local.VM{entries[1], entries[2]} {
		require.Eventually(t, func() bool {
			status, err := bookOnce(ctx, target, "k1")
			return err == nil && status == http.StatusOK
		}, eventuallyTimeout, 100*time.Millisecond)
		if i == 0 {
			target.Kill()
		}
	}
	require.Equal(t, 1, tool.Executions("k1"))
}

// A process that could not listen exited, and the deployment waited for its slots until the test's
// time was over.
func TestStartReportsExitedProcess(t *testing.T) {
	set, err := load.Set("../examples/bancarella")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	_, err = local.Start(ctx, local.Options{Config: set, EntriesPerDomain: 1, Binary: "false", ProcessDir: t.TempDir()})
	require.ErrorContains(t, err, "the process of entry-milano-a-0 has exited (exit status 1)")
}
