package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

// newReservedExchange returns an exchange of a retryable call that was executed once and has
// reserved the only target of its service, which listens.
func newReservedExchange(t *testing.T) (*exchange, *httptest.ResponseRecorder) {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	r := New(Options{Metrics: NewMetrics(prometheus.NewRegistry()), Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}})
	config := &catalog.Config{}
	target := catalog.Target{TargetKey: catalog.TargetKey{ID: "i1"}, Service: "engine", Slots: 4, Addr: server.Listener.Addr().String()}
	r.Update(discovery.Snapshot{Config: config, Targets: []catalog.Target{target}})
	w := httptest.NewRecorder()
	e := &exchange{
		relay: r, w: w, req: httptest.NewRequest(http.MethodPost, "/", nil), config: config, keyConfig: config, service: "engine", beforeSend: sendAtOnce,
		route: &catalog.Route{Kind: catalog.Idempotent, MaxTargets: 2}, deadline: time.Now().Add(time.Minute), attempts: 1, executions: 1, mayHaveRun: true,
	}
	e.reserved = r.reserve(t.Context(), fleet.Query{Service: "engine"}, true)
	require.NotNil(t, e.reserved)
	require.Equal(t, 1.0, r.loadOf("engine"))
	return e, w
}

// A reservation that is not used must count no call for ever, and its connection is kept.
func TestUnusedReservationIsTakenBack(t *testing.T) {
	for name, use := range map[string]func(e *exchange){
		"exchange ends":   func(*exchange) {},
		"target is gone":  func(e *exchange) { e.relay.Update(discovery.Snapshot{Config: e.config}) },
		"other software":  func(e *exchange) { e.isPinned, e.software = true, 1 },
		"not authorized":  func(e *exchange) { e.accountErr = &accountError{reason: reasonKeyRevoked} },
		"sending refused": func(e *exchange) { e.beforeSend = func(context.Context, fleet.Choice) error { return io.EOF } },
	} {
		t.Run(name, func(t *testing.T) {
			e, _ := newReservedExchange(t)
			key := poolKey{e.reserved.choice.Target.TargetKey, e.reserved.choice.Target.Addr}
			use(e)
			if name != "exchange ends" {
				a, _ := e.send(t.Context(), nil, "", false)
				assert.Nil(t, a)
			}
			e.releaseReserved()
			assert.LessOrEqual(t, e.relay.loadOf("engine"), 0.0)
			assert.NotNil(t, e.relay.pool.popIdle(key))
		})
	}
}

// A call whose next target was chosen after the deadline ended with 502, where 504 is due.
func TestNoAttemptStartsAfterDeadline(t *testing.T) {
	for status, mayHaveRun := range map[int]bool{http.StatusGatewayTimeout: true, http.StatusServiceUnavailable: false} {
		for _, isReserved := range []bool{true, false} {
			e, w := newReservedExchange(t)
			if !isReserved {
				e.releaseReserved()
			}
			if e.mayHaveRun = mayHaveRun; !mayHaveRun {
				e.executions = 0
			}
			e.deadline = time.Now()
			ctx, cancel := context.WithDeadline(t.Context(), e.deadline)
			defer cancel()
			_, ok := e.sendUntilAnswered(ctx, nil, "")
			assert.False(t, ok)
			assert.Equal(t, status, w.Code)
			assert.Equal(t, 1, e.attempts)
			e.releaseReserved()
			assert.Zero(t, e.relay.loadOf("engine"))
		}
	}
}
