package observe

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

var at = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func TestLogIsReadFromFileAndHTTP(t *testing.T) {
	path := filepath.Join(t.TempDir(), "events.jsonl")
	log, err := NewLog(LogOptions{Path: path})
	require.NoError(t, err)
	observation := Observation{Time: at, Measure: FirstToken, Kind: "haggle", Account: "circuit", Target: "s1", Domain: "milano-a", Value: 0.4}
	decision := NewDecision(at, core.Node{VM: "e1", Inc: 2}, core.Decision{
		Step: "place", Program: "p/q", Seq: 3, Target: core.Node{VM: "s1", Inc: 1}, Cost: 20 * core.Millisecond,
		Wait: core.Second, Usage: core.Usage{PromptTokens: 7},
	})
	require.Equal(t, "s1#1", decision.Target)
	require.Empty(t, decision.Attempt)
	require.InDelta(t, 0.02, decision.CostSeconds, 1e-9)
	require.NoError(t, log.AppendObservation(observation))
	require.NoError(t, log.AppendDecision(decision))
	server := httptest.NewServer(log)
	defer server.Close()
	want := []Line{{Observation: &observation}, {Decision: &decision}}
	var fromFile, fromHTTP []Line
	require.NoError(t, ReadFile(path, func(l Line) { fromFile = append(fromFile, l) }))
	require.NoError(t, Fetch(t.Context(), server.Client(), server.URL, func(l Line) { fromHTTP = append(fromHTTP, l) }))
	require.Equal(t, want, fromFile)
	require.Equal(t, want, fromHTTP)
	require.NoError(t, log.Close())
}

func TestLogBoundsMemoryAndFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "events.jsonl")
	log, err := NewLog(LogOptions{Path: path, MemoryBytes: 500, FileBytes: 1000})
	require.NoError(t, err)
	for range 100 {
		require.NoError(t, log.AppendObservation(Observation{Time: at, Measure: Refused}))
	}
	require.LessOrEqual(t, log.recentBytes, 500)
	require.NotEmpty(t, log.recent)
	for _, name := range []string{path, path + ".1"} {
		info, err := os.Stat(name)
		require.NoError(t, err)
		require.Less(t, info.Size(), int64(1200))
	}
	require.NoError(t, log.Close())
}

func TestReadErrorNamesTheLine(t *testing.T) {
	text := `{"observation":{"measure":"refused"}}` + "\n" + `{"observation":{"measure":1}}` + "\n"
	n := 0
	err := Read(strings.NewReader(text), "f", func(Line) { n++ })
	var e *ReadError
	require.ErrorAs(t, err, &e)
	require.Equal(t, 2, e.Line)
	require.Equal(t, 1, n)
}

func TestReadSkipsIncompleteLastLine(t *testing.T) {
	n := 0
	require.NoError(t, Read(strings.NewReader("{}\n{\"obser"), "f", func(Line) { n++ }))
	require.Equal(t, 1, n)
}

func BenchmarkDecide(b *testing.B) {
	log, err := NewLog(LogOptions{Path: filepath.Join(b.TempDir(), "events.jsonl")})
	require.NoError(b, err)
	d := core.Decision{
		Step: "finish", Program: "circuit:haggle-1", Seq: 3, Wait: core.Second,
		Target: core.Node{VM: "s1", Inc: 1}, Usage: core.Usage{PromptTokens: 700, OutputTokens: 50},
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = log.AppendDecision(NewDecision(at, core.Node{VM: "e1", Inc: 2}, d))
	}
	require.NoError(b, log.Close())
}
