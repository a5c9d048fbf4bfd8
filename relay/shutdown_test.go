package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
	"github.com/rhubarbsaddle/rhubarbsaddle/relay"
)

// Requests that came late in a planned stop were passed on, and cut at its end (LOST).
func TestRequestThatMayOutlastShutdownIsRefused(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.Respond(http.StatusOK, "yes"))
	b := newTestbed(t, target)
	b.relay.BeginShutdown(relay.Shutdown{CallersLeave: time.Now().Add(time.Second), End: time.Now().Add(2 * time.Second)})
	for _, path := range []string{nonIdempotentPath, idempotentPath, storedTurnsPath} {
		late := b.call(path, "x")
		assert.Equal(t, http.StatusServiceUnavailable, late.status, path)
		assert.NotEmpty(t, late.header.Get("Retry-After"), path)
	}
	assert.Empty(t, target.Requests())
	assert.Equal(t, http.StatusOK, b.call(nonIdempotentPath, "x", platformtest.Deadline, "1000").status, "it ends before the shutdown does")
	assert.Equal(t, http.StatusOK, b.call(idempotentPath, "x").status, "such calls are known to be short")
	assert.Equal(t, http.StatusServiceUnavailable, b.call(nonIdempotentPath, "x").status, "it can't be repeated")
}

// Requests in flight at the end of a planned stop were cut without an answer (LOST).
func TestRequestsInFlightAreAnsweredAtEndOfShutdown(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	target := platformtest.NewTarget("i1", func(http.ResponseWriter, *http.Request) { <-release })
	b := newTestbed(t, target)
	answer := make(chan callResult, 1)
	go func() { answer <- b.callWithID("a", nonIdempotentPath, "x", platformtest.Deadline, "60000") }()
	require.Eventually(t, func() bool { return len(target.Requests()) == 1 }, patience, time.Millisecond)
	b.relay.EndRequests()
	got := <-answer
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusGatewayTimeout, got.status)
	assert.Equal(t, http.StatusServiceUnavailable, b.call(nonIdempotentPath, "x").status, "the request has not run")
}
