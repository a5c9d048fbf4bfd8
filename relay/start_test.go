package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
	"github.com/rhubarbsaddle/rhubarbsaddle/relay"
)

// Callers that had waited for the return of all processes reached entries that had started
// milliseconds ago, were refused, and came back half a second later.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.Respond(http.StatusOK, "yes"))
	b := newUnconfiguredTestbed(t, relay.Options{}, newMemoryLedger())
	got := make(chan callResult, 1)
	go func() { got <- b.callWithID("r1", nonIdempotentPath, "x") }()
	time.Sleep(50 * time.Millisecond)
	b.update(target)
	assert.Equal(t, http.StatusOK, (<-got).status)
}

// A caller must not lose its time to an entry that gets no configuration.
func TestWaitForConfigurationLeavesTimeToRetry(t *testing.T) {
	b := newUnconfiguredTestbed(t, relay.Options{}, newMemoryLedger())
	began := time.Now()
	got := b.call(nonIdempotentPath, "x", platformtest.Deadline, "600")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Less(t, time.Since(began), 400*time.Millisecond)
}
