package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
	"github.com/rhubarbsaddle/rhubarbsaddle/report/burn"
)

const exampleSet = "../examples/bancarella"

// newEventLog returns a log with one observation of a slow first token, and its
// path.
func newEventLog(t *testing.T) (*observe.Log, string) {
	path := filepath.Join(t.TempDir(), "events.jsonl")
	log, err := observe.NewLog(observe.LogOptions{Path: path})
	require.NoError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	require.NoError(t, log.AppendObservation(observe.Observation{
		Time: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), Measure: observe.FirstToken,
		Kind: "haggle", Account: "circuit", Target: "s1", Domain: "milano-a", Value: 2,
	}))
	return log, path
}

func TestReportBurnFromFileAndDaemon(t *testing.T) {
	log, path := newEventLog(t)
	mux := http.NewServeMux()
	mux.Handle("GET "+eventsPath, log)
	daemon := httptest.NewServer(mux)
	defer daemon.Close()
	html := filepath.Join(t.TempDir(), "burn.html")
	for _, source := range [][]string{{"--data", path}, {"--data", filepath.Dir(path)}, {"--from", daemon.URL}} {
		var stdout, stderr bytes.Buffer
		args := append([]string{"rhubarbsaddle", "report", "burn", "--config", exampleSet, "--json", "--html", html}, source...)
		require.Equal(t, ExitOK, Run(t.Context(), args, &stdout, &stderr), stderr.String())
		var report burn.Report
		require.NoError(t, json.Unmarshal(stdout.Bytes(), &report))
		require.Len(t, report.Objectives, 2)
		require.InDelta(t, -19.0, report.Objectives[0].BudgetLeft, 1e-9)
		page, err := os.ReadFile(html)
		require.NoError(t, err)
		require.Contains(t, string(page), "first_token &lt; 860ms")
	}
}

func TestReportBurnErrors(t *testing.T) {
	_, path := newEventLog(t)
	tests := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--config", exampleSet}, ExitUsage, "name event logs"},
		{[]string{"--config", "no-such-dir", "--data", path}, ExitUsage, "no-such-dir"},
		{[]string{"--config", exampleSet, "--data", "no-such-file"}, ExitFailed, "open event log no-such-file"},
	}
	for _, tt := range tests {
		var stdout, stderr bytes.Buffer
		args := append([]string{"rhubarbsaddle", "report", "burn"}, tt.args...)
		require.Equal(t, tt.code, Run(t.Context(), args, &stdout, &stderr))
		require.Contains(t, stderr.String(), tt.want)
	}
}
