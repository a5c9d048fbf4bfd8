package front

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestObservationOfAStreamedAnswer(t *testing.T) {
	f := &fakeExchange{
		set:    testSet(),
		parts:  append([]string{head("text/event-stream")}, streamEvents...),
		finish: core.Finish{Outcome: core.OutcomeRan, Sidecar: core.Node{VM: "s1"}},
	}
	seen := make(chan Observation, 1)
	server := httptest.NewServer(New(Options{
		Backend: f, Limits: config.Limits{BodyBytes: 4096},
		Observe: func(o Observation) { seen <- o },
	}))
	t.Cleanup(server.Close)
	c := client(server)
	stream := c.Chat.Completions.NewStreaming(t.Context(), question())
	for stream.Next() {
		require.NotNil(t, stream.Current().Choices)
	}
	require.NoError(t, stream.Err())
	o := <-seen
	require.Positive(t, o.FirstToken)
	require.GreaterOrEqual(t, o.LastToken, o.FirstToken)
	require.GreaterOrEqual(t, o.FirstToken, o.FirstByte)
	require.Equal(t, f.finish, o.Finish)
	require.Equal(t, "assistant", o.Call.ProgramKind)
	require.EqualValues(t, "acme", o.Call.Account)
	require.Nil(t, o.Call.Body, "an observation holds no text of callers")
	require.Nil(t, o.Call.Blocks)
}
