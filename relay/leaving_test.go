package relay_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// announceLeaving adds the announcement of a shutdown to a handler's responses.
func announceLeaving(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platformtest.Leaving, "1")
		next(w, r)
	}
}

// A target that leaves says so in all its responses, long before its registration changes
// or while no change of it arrives. After the first such response, no call may reach it.
func TestTargetThatAnnouncesItsShutdownGetsNoFurtherCalls(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		handler http.HandlerFunc
	}{
		"answer":             {idempotentPath, platformtest.Respond(http.StatusOK, "yes")},
		"refusal":            {nonIdempotentPath, platformtest.RejectUnexecuted(http.StatusServiceUnavailable)},
		"error":              {idempotentPath, platformtest.Respond(http.StatusInternalServerError, "no")},
		"stream":             {storedTurnsPath, platformtest.StreamEvents(2, 0, 0)},
		"interrupted stream": {resumablePath, platformtest.StreamEvents(3, 1, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			answer := platformtest.Respond(http.StatusOK, "yes")
			if c.path == storedTurnsPath || c.path == resumablePath {
				answer = platformtest.StreamEvents(3, 0, 0)
			}
			leaving, other := platformtest.NewTarget("i1", announceLeaving(c.handler)), platformtest.NewTarget("i2", answer)
			b := newTestbed(t, leaving, other)
			for len(leaving.Requests()) == 0 {
				b.call(c.path, "x")
			}
			b.update(leaving, other)
			for i := range 5 {
				got := b.call(c.path, fmt.Sprint(i))
				require.NoError(t, got.err)
				assert.Equal(t, http.StatusOK, got.status)
			}
			assert.Len(t, leaving.Requests(), 1)
		})
	}
}

// The address of a target that has ended may belong to another target, whose announcement
// says nothing about the first one.
func TestAnnouncementOfAnotherTargetIsIgnored(t *testing.T) {
	target := platformtest.NewTarget("i1", announceLeaving(platformtest.Respond(http.StatusMisdirectedRequest, "")))
	b := newTestbed(t, target)
	assert.Equal(t, http.StatusServiceUnavailable, b.call(idempotentPath, "x").status)
	target.SetHandler(platformtest.Respond(http.StatusOK, "yes"))
	assert.Equal(t, http.StatusOK, b.call(idempotentPath, "x").status)
}
