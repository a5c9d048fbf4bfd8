package tool

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine/service"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/fault"
)

// answerSink is a sink that stores the answer.
type answerSink struct {
	head engine.Head
	body []byte
}

func (a *answerSink) Head(h engine.Head) error {
	a.head = h
	return nil
}

func (a *answerSink) Data(b []byte, _ uint32) error {
	a.body = append(a.body, b...)
	return nil
}

// startServer starts a tool service and its target.
func startServer(t *testing.T) (*Server, *service.Target) {
	s := NewServer(0)
	addr, err := s.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s, service.New(addr)
}

func toolRequest(n uint64, path, key string) engine.Request {
	return engine.Request{
		Attempt: core.AttemptID{N: n},
		Call:    core.Call{Kind: core.CallTool, Method: "POST", Path: path, Key: key, Body: []byte("pitch 7")},
	}
}

func TestServiceForwardsCallAndAnswer(t *testing.T) {
	s, target := startServer(t)
	var a answerSink
	result, err := target.Run(t.Context(), toolRequest(1, "/book?status=422", "k1"), &a)
	require.NoError(t, err)
	require.EqualValues(t, len(a.body), result.Length)
	require.Equal(t, engine.Head{Status: 422, ContentType: "application/json"}, a.head)
	var echo Echo
	require.NoError(t, json.Unmarshal(a.body, &echo))
	require.Equal(t, Echo{Method: "POST", Path: "/book", Key: "k1", Body: "pitch 7", Execution: 1}, echo)
	require.Equal(t, map[string]int{"k1": 1}, s.AllExecutions())
}

// net/http's client retries a request with an idempotency key when a reused
// connection is lost. A call that is not idempotent must not be retried.
func TestNonIdempotentCallIsNotRetriedAfterLostResponse(t *testing.T) {
	s, target := startServer(t)
	for n := range uint64(3) {
		req := toolRequest(n, "/book", "")
		req.Call.NonIdempotent = true
		_, err := target.Run(t.Context(), req, &answerSink{})
		require.NoError(t, err)
	}
	s.SetFaults(fault.Faults{LoseResponse: true})
	req := toolRequest(9, "/book", "k2")
	req.Call.NonIdempotent = true
	_, err := target.Run(t.Context(), req, &answerSink{})
	var e *engine.Error
	require.ErrorAs(t, err, &e)
	require.True(t, e.Sent)
	require.Equal(t, 1, s.Executions("k2"))
}

func TestCancelClosesTheConnection(t *testing.T) {
	s, target := startServer(t)
	done := make(chan error, 1)
	go func() {
		_, err := target.Run(t.Context(), toolRequest(1, "/slow?sleep=1h", "k1"), &answerSink{})
		done <- err
	}()
	require.Eventually(t, func() bool { return s.Executions("k1") == 1 }, 20*time.Second, time.Millisecond)
	require.NoError(t, target.Cancel(t.Context(), core.AttemptID{N: 1}))
	require.Error(t, <-done)
}
