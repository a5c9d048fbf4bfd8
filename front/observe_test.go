package front

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestObservationReportsTokenTimes(t *testing.T) {
	f := &fakeBackend{
		set:    testSet(),
		parts:  append([]string{head("text/event-stream")}, streamEvents...),
		finish: core.Finish{Outcome: core.OutcomeRan, Sidecar: core.Node{VM: "s1"}},
	}
	observed := make(chan Observation, 1)
	server := httptest.NewServer(New(Options{
		Backend: f, Limits: config.Limits{BodyBytes: 4096},
		Observe: func(o Observation) { observed <- o },
	}))
	t.Cleanup(server.Close)
	c := client(server)
	stream := c.Chat.Completions.NewStreaming(t.Context(), chatParams())
	for stream.Next() {
		require.NotNil(t, stream.Current().Choices)
	}
	require.NoError(t, stream.Err())
	o := <-observed
	require.Positive(t, o.FirstToken)
	require.GreaterOrEqual(t, o.LastToken, o.FirstToken)
	require.GreaterOrEqual(t, o.FirstToken, o.FirstByte)
	require.Equal(t, f.finish, o.Finish)
	require.Equal(t, "assistant", o.Call.ProgramKind)
	require.EqualValues(t, "acme", o.Call.Account)
	require.Nil(t, o.Call.Body, "an observation must not contain a caller's text")
	require.Nil(t, o.Call.Blocks)
}
