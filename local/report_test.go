package local

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/front"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
	"github.com/rhubarbsaddle/rhubarbsaddle/report/burn"
	"github.com/rhubarbsaddle/rhubarbsaddle/report/explain"
)

// fetchEvents reads the event logs of all daemons from their operators' ports.
func fetchEvents(ctx context.Context, t *testing.T, d *Deployment) (observations []observe.Observation, decisions []observe.Decision) {
	var addrs []string
	for _, e := range d.Entries() {
		addrs = append(addrs, e.OperatorAddr())
	}
	for _, s := range d.Sidecars() {
		addrs = append(addrs, s.OperatorAddr())
	}
	for _, addr := range addrs {
		require.NoError(t, observe.Fetch(ctx, http.DefaultClient, "http://"+addr+"/events", func(l observe.Line) {
			if l.Observation != nil {
				observations = append(observations, *l.Observation)
			}
			if l.Decision != nil {
				decisions = append(decisions, *l.Decision)
			}
		}))
	}
	return observations, decisions
}

// TestReportsFromRunningDaemons runs two turns of one program and ends it.
func TestReportsFromRunningDaemons(t *testing.T) {
	options := smallOptions(t)
	options.DataDir = t.TempDir()
	d := start(t, options)
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	c := newClient(d.Entries()[0], option.WithHeader(front.HeaderProgram, "p1"), option.WithHeader(front.HeaderProgramKind, "haggle"))
	conversation := []string{"hello"}
	const turns = 2
	for range turns {
		stream := c.Chat.Completions.NewStreaming(ctx, chatParams(conversation...))
		var answer string
		for stream.Next() {
			if choices := stream.Current().Choices; len(choices) > 0 {
				answer += choices[0].Delta.Content
			}
		}
		require.NoError(t, stream.Err())
		conversation = append(conversation, answer, "more")
	}
	require.NoError(t, c.Delete(ctx, "programs/p1", nil, nil))

	var observations []observe.Observation
	var decisions []observe.Decision
	complete := func() bool {
		observations, decisions = fetchEvents(ctx, t, d)
		seen := map[observe.Measure]int{}
		for _, o := range observations {
			seen[o.Measure]++
		}
		// A request is observed after the last byte of its answer has been sent.
		return len(seen) == 5 && seen[observe.FirstToken] >= turns && seen[observe.Refused] >= turns
	}
	require.Eventually(t, complete, eventuallyTimeout, 50*time.Millisecond, "every measure must have been observed, of each turn")

	files, err := observe.Files([]string{options.DataDir})
	require.NoError(t, err)
	saved := 0
	for _, file := range files {
		require.NoError(t, observe.ReadFile(file, func(l observe.Line) {
			if l.Observation != nil {
				saved++
			}
		}))
	}
	require.GreaterOrEqual(t, saved, len(observations), "the data directory contains fewer observations than the daemons serve")

	report := burn.New(options.Config, observations, burn.Options{})
	measures := map[observe.Measure]burn.Objective{}
	for _, o := range report.Objectives {
		require.Equal(t, "haggle", o.Kind)
		measures[o.Measure] = o
	}
	require.Len(t, measures, 5)
	require.Equal(t, turns, measures[observe.FirstToken].Events)
	require.Equal(t, 1.0, measures[observe.Refused].GoodShare)
	require.Equal(t, 1, measures[observe.ProgramLatency].Events)

	program := decisions[0].Program
	for _, d := range decisions {
		if d.Step == "end" {
			program = d.Program
		}
	}
	explanation := explain.New(program, decisions)
	var table bytes.Buffer
	require.NoError(t, explanation.WriteTable(&table))
	t.Log(table.String())
	require.Len(t, explanation.Calls, 2)
	for _, call := range explanation.Calls {
		require.Len(t, call.Choices, 1)
		require.Positive(t, call.Parts.Prefill)
		require.NotZero(t, call.PromptTokens)
	}

	resp, err := http.Get("http://" + d.Sidecars()[0].OperatorAddr() + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	var page bytes.Buffer
	_, err = page.ReadFrom(resp.Body)
	require.NoError(t, err)
	require.Contains(t, page.String(), "rhubarbsaddle_target_limit_calls")
	require.Contains(t, page.String(), `rhubarbsaddle_invariant_violations_total{promise="at_most_once"} 0`)
}
