package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
	"github.com/rhubarbsaddle/rhubarbsaddle/relay"
)

// patience is a time that no test reaches, however slow the machine is.
const patience = time.Minute

// patient are the headers of a caller that waits that long.
var patient = []string{platformtest.Deadline, fmt.Sprint(patience.Milliseconds())}

// allowPatience makes the routes' timeouts as long.
func allowPatience(c *catalog.Config) {
	for i := range c.Routes {
		c.Routes[i].Timeout = patience
	}
}

// onLine is called with each line of a log.
type onLine func(line []byte)

func (f onLine) Write(line []byte) (int, error) {
	f(line)
	return len(line), nil
}

// A call was given up at a stalled target because another had room; a second call took the
// room before it was sent there, and the first ended with 502 (answer_lost).
func TestStalledCallKeepsRoomThatItMovesFor(t *testing.T) {
	for path, answer := range map[string]http.HandlerFunc{
		idempotentPath: platformtest.Respond(http.StatusOK, "yes"),
		resumablePath:  platformtest.StreamEvents(3, 0, 0),
	} {
		t.Run(path, func(t *testing.T) {
			const heldCalls = 9 // with one more, a target with four slots is full
			release := make(chan struct{})
			stalled := platformtest.NewTarget("i1", platformtest.Hang)
			other := platformtest.NewTarget("i2", func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(platformtest.RequestID) == "moved" {
					answer(w, r)
					return
				}
				select {
				case <-release:
				case <-r.Context().Done():
				}
			})
			var b *testbed
			held, rival := make(chan callResult, heldCalls), make(chan callResult, 1)
			competeForRoom := func() {
				b.update(other)
				go func() { rival <- b.send(t.Context(), "rival", nonIdempotentPath, "x", patient...) }()
				for len(other.Requests()) == heldCalls && len(rival) == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			writer := onLine(func(line []byte) {
				// The call has been given up and not been sent again.
				if bytes.Contains(line, []byte(`"attempt_failed","request":"moved"`)) {
					competeForRoom()
				}
			})
			b = newTestbedWithOptions(t, relay.Options{Permits: newSharedBoard(), Log: &log.Logger{Writer: &log.IOWriter{Writer: writer}}}, newMemoryLedger())
			b.edit = allowPatience
			b.update(other)
			for i := range heldCalls {
				go func() {
					got := callResult{status: http.StatusServiceUnavailable}
					// On a slow machine, connecting may time out; then the call was not executed.
					for n := 0; got.status == http.StatusServiceUnavailable; n++ {
						got = b.send(t.Context(), fmt.Sprintf("held%d-%d", i, n), nonIdempotentPath, "x", patient...)
					}
					held <- got
				}()
			}
			require.Eventually(t, func() bool { return len(other.Requests()) == heldCalls }, patience, time.Millisecond)
			b.update(stalled, other)
			assert.Equal(t, http.StatusOK, b.send(t.Context(), "moved", path, "x", patient...).status)
			assert.Len(t, stalled.Requests(), 1)
			close(release)
			assert.Equal(t, http.StatusServiceUnavailable, (<-rival).status, "there is no room for the other call")
			for range heldCalls {
				assert.Equal(t, http.StatusOK, (<-held).status)
			}
		})
	}
}

// A call was given up at a stalled target for another that could then not be connected to, and
// ended with 502 (answer_lost), although the first target would have answered.
func TestStalledCallIsGivenUpOnlyForConnectedTarget(t *testing.T) {
	for path, answer := range map[string]http.HandlerFunc{
		idempotentPath: platformtest.Respond(http.StatusOK, "yes"),
		resumablePath:  platformtest.StreamEvents(3, 0, 0),
	} {
		t.Run(path, func(t *testing.T) {
			var dials atomic.Int32
			unconnectable := make(chan struct{})
			slow := func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-unconnectable:
					answer(w, r)
				case <-r.Context().Done():
				}
			}
			b := newTestbed(t)
			b.relay.WrapDial(func(dial relay.DialFunc) relay.DialFunc {
				return func(ctx context.Context, network, addr string) (net.Conn, error) {
					switch dials.Add(1) {
					case 1:
						return dial(ctx, network, addr)
					case 3: // both other targets were tried
						defer close(unconnectable)
					}
					return nil, os.ErrDeadlineExceeded
				}
			})
			b.edit = allowPatience
			b.update(platformtest.NewTarget("i1", slow), platformtest.NewTarget("i2", slow), platformtest.NewTarget("i3", slow))
			assert.Equal(t, http.StatusOK, b.send(t.Context(), "r", path, "x", patient...).status)
			assert.Equal(t, int32(3), dials.Load())
		})
	}
}

// A call was given up at a stalled target when no further attempt was allowed.
func TestStalledCallWaitsOnAfterLastAttempt(t *testing.T) {
	const maxAttempts, stallTime = 6, 200 * time.Millisecond
	var requests atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) < maxAttempts {
			platformtest.RejectUnexecuted(http.StatusServiceUnavailable)(w, r)
			return
		}
		select {
		case <-time.After(3 * stallTime):
			platformtest.Respond(http.StatusOK, "late")(w, r)
		case <-r.Context().Done():
		}
	}
	var targets []*platformtest.Target
	for i := range maxAttempts + 1 {
		targets = append(targets, platformtest.NewTarget(fmt.Sprintf("i%d", i), handler))
	}
	b := newTestbed(t)
	b.edit = allowPatience
	b.update(targets...)
	assert.Equal(t, "late", b.send(t.Context(), "r", idempotentPath, "x", patient...).body)
	assert.Equal(t, int32(maxAttempts), requests.Load())
}
