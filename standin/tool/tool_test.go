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

// answer is a sink that keeps the answer.
type answer struct {
	head engine.Head
	body []byte
}

func (a *answer) Head(h engine.Head) error {
	a.head = h
	return nil
}

func (a *answer) Data(b []byte, _ uint32) error {
	a.body = append(a.body, b...)
	return nil
}

// start starts a tool service and its target.
func start(t *testing.T) (*Server, *service.Target) {
	s := NewServer(0)
	addr, err := s.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s, service.New(addr)
}

func call(n uint64, path, key string) engine.Request {
	return engine.Request{
		Attempt: core.AttemptID{N: n},
		Call:    core.Call{Kind: core.CallTool, Method: "POST", Path: path, Key: key, Body: []byte("pitch 7")},
	}
}

func TestServicePassesCallsOn(t *testing.T) {
	s, target := start(t)
	var a answer
	result, err := target.Run(t.Context(), call(1, "/book?status=422", "k1"), &a)
	require.NoError(t, err)
	require.EqualValues(t, len(a.body), result.Length)
	require.Equal(t, engine.Head{Status: 422, ContentType: "application/json"}, a.head)
	var echo Echo
	require.NoError(t, json.Unmarshal(a.body, &echo))
	require.Equal(t, Echo{Method: "POST", Path: "/book", Key: "k1", Body: "pitch 7", Execution: 1}, echo)
	require.Equal(t, map[string]int{"k1": 1}, s.AllExecutions())
}

// The HTTP client repeats a request with an idempotency key when a reused
// connection breaks. A call that is not idempotent must not be repeated.
func TestLostAnswerIsNotRepeated(t *testing.T) {
	s, target := start(t)
	for n := range uint64(3) {
		req := call(n, "/book", "")
		req.Call.NonIdempotent = true
		_, err := target.Run(t.Context(), req, &answer{})
		require.NoError(t, err)
	}
	s.SetFaults(fault.Faults{LoseResponse: true})
	req := call(9, "/book", "k2")
	req.Call.NonIdempotent = true
	_, err := target.Run(t.Context(), req, &answer{})
	var e *engine.Error
	require.ErrorAs(t, err, &e)
	require.True(t, e.Sent)
	require.Equal(t, 1, s.Executions("k2"))
}

func TestCancelClosesTheConnection(t *testing.T) {
	s, target := start(t)
	done := make(chan error, 1)
	go func() {
		_, err := target.Run(t.Context(), call(1, "/slow?sleep=1h", "k1"), &answer{})
		done <- err
	}()
	require.Eventually(t, func() bool { return s.Executions("k1") == 1 }, 20*time.Second, time.Millisecond)
	require.NoError(t, target.Cancel(t.Context(), core.AttemptID{N: 1}))
	require.Error(t, <-done)
}
