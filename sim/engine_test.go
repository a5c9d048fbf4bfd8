package sim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func startModelCall() core.StartTarget {
	return core.StartTarget{
		Attempt: core.AttemptID{N: 1},
		Call:    core.Call{Program: "p", MaxTokens: 10, Blocks: []core.Block{{Digest: 7, Tokens: 100}}},
	}
}

// runTarget advances a target for ten virtual seconds and returns its events.
func runTarget(t Target) []core.Event {
	var all []core.Event
	for {
		at, ok := t.Next()
		if !ok || at > core.Instant(10*core.Second) {
			return all
		}
		all = append(all, t.Advance(at)...)
	}
}

func findFinished(events []core.Event) *core.TargetFinished {
	for _, ev := range events {
		if f, ok := ev.(core.TargetFinished); ok {
			return &f
		}
	}
	return nil
}

func TestEngineReportsDigestOfConversation(t *testing.T) {
	e := NewEngine(EngineOptions{Seed: 1})
	e.Start(0, startModelCall())
	f := findFinished(runTarget(e))
	require.NotNil(t, f)
	require.Equal(t, AnswerDigest(startModelCall().Call.Blocks, core.AttemptID{N: 1}), f.Digest)
	require.Equal(t, uint32(2), f.Blocks)
	require.Equal(t, uint32(100), f.Usage.PromptTokens)
}

func TestEngineFaultsSuppressReports(t *testing.T) {
	e := NewEngine(EngineOptions{Seed: 1})
	e.SetFaults(0, 1, core.Second, 1)
	e.Start(0, startModelCall())
	events := runTarget(e)
	require.Nil(t, findFinished(events))
	for _, ev := range events {
		_, isCache := ev.(core.CacheEvent)
		require.False(t, isCache)
	}
	require.NotZero(t, e.Stats().LostEvents)
	require.NotZero(t, e.Stats().LateLoads)
	require.Equal(t, uint64(1), e.Stats().Hangs)
	e.Abort(core.Instant(10*core.Second), core.AttemptID{N: 1})
	failed := core.TargetFailed{Attempt: core.AttemptID{N: 1}, Sent: true, Reason: core.ReasonCanceled}
	require.Contains(t, e.Advance(core.Instant(10*core.Second)), core.Event(failed))
}

func TestAbortedJobReportsTokensComputedSoFar(t *testing.T) {
	e := NewEngine(EngineOptions{Seed: 1, Output: func(*core.Call) uint32 { return 10 }})
	var spent uint64
	e.OnUsage = func(_ core.AttemptID, _ *core.Call, tokens uint64) { spent = tokens }
	e.Start(0, startModelCall())
	e.Advance(core.Instant(50 * core.Millisecond))
	e.Abort(core.Instant(50*core.Millisecond), core.AttemptID{N: 1})
	require.Greater(t, spent, uint64(100))
	require.Less(t, spent, uint64(110))
	require.Nil(t, findFinished(runTarget(e)))
}
