package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// newVersioned returns targets with a version of their software.
func newVersioned(version string, n int, handler http.HandlerFunc) []*platformtest.Target {
	var targets []*platformtest.Target
	for i := range n {
		target := platformtest.NewTarget(fmt.Sprint(version, "-", i), handler)
		target.Version = version
		targets = append(targets, target)
	}
	return targets
}

func requestsOf(targets []*platformtest.Target) int {
	n := 0
	for _, target := range targets {
		n += len(target.Requests())
	}
	return n
}

// streamKinds are the headers of turns whose program has a budget, and of streams without one.
var streamKinds = map[string][]string{
	"program":    {"X-Rhubarbsaddle-Program-Id", "p", "X-Rhubarbsaddle-Token-Budget", "100000", "X-Rhubarbsaddle-Token-Usage", "10,100"},
	"no program": nil,
}

var wholeStream = platformtest.StreamEvents(5, 0, 0)

// interruptOnce returns a handler that sends two events and breaks the stream once release is
// closed.
func interruptOnce(release <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		platformtest.StreamEvents(2, 0, 0)(w, r)
		<-release
		panic(http.ErrAbortHandler)
	}
}

// 42 streams went on at another version than the one that began them; some of them within one
// answer, 1 ms after a crash of their engine (ORDER, second1 on bancarella-prod).
func TestInterruptedStreamContinuesOnlyAtItsVersion(t *testing.T) {
	for name, headers := range streamKinds {
		t.Run(name, func(t *testing.T) {
			for _, remaining := range []int{0, 1} {
				release := make(chan struct{})
				first := newVersioned("v1", 1, interruptOnce(release))
				others, newer := newVersioned("v1-other", remaining, wholeStream), newVersioned("v2", 6, wholeStream)
				for _, target := range others {
					target.Version = "v1"
				}
				b := newTestbed(t, first...)
				answer := make(chan callResult, 1)
				go func() { answer <- b.callWithID("s", resumablePath, "x", headers...) }()
				require.Eventually(t, func() bool { return requestsOf(first) == 1 }, patience, time.Millisecond)
				time.Sleep(20 * time.Millisecond)
				b.update(append(append(first, newer...), others...)...)
				close(release)
				got := <-answer
				assert.Zero(t, requestsOf(newer), "no other version gets the rest")
				if remaining == 0 {
					assert.Error(t, got.err, "the stream ends")
					continue
				}
				require.NoError(t, got.err)
				assert.Equal(t, events(1, 5), got.body)
			}
		})
	}
}

// Other streams of the same incident were taken up by their clients at another entry, which did
// not know which version had begun them.
func TestClientTakesStreamUpAtItsVersion(t *testing.T) {
	for name, headers := range streamKinds {
		t.Run(name, func(t *testing.T) {
			shared := newMemoryLedger()
			one := newTestbedWithLedger(t, shared, newVersioned("v1", 1, platformtest.StreamEvents(5, 2, 0))...)
			older, newer := newVersioned("v1", 2, wholeStream), newVersioned("v2", 6, wholeStream)
			two := newTestbedWithLedger(t, shared, append(older, newer...)...)
			for i := range 5 {
				id := fmt.Sprint("begun", i)
				require.Error(t, one.callWithID(id, resumablePath, "x", headers...).err)
				got := two.call(resumablePath, "x", append(headers, platformtest.LastEventID, "2", platformtest.Resumes, id)...)
				require.NoError(t, got.err)
				assert.Equal(t, http.StatusOK, got.status)
				assert.Equal(t, events(3, 5), got.body)
			}
			assert.Zero(t, requestsOf(newer))
		})
	}
}

// Callers of an older protocol do not name the request that began their stream. It is known
// nevertheless if all of the program's streams began at one version.
func TestStreamWithoutNamedOriginContinuesAtItsProgramsVersion(t *testing.T) {
	headers := streamKinds["program"]
	shared := newMemoryLedger()
	one := newTestbedWithLedger(t, shared, newVersioned("v1", 1, platformtest.StreamEvents(5, 2, 0))...)
	older, newer := newVersioned("v1", 2, wholeStream), newVersioned("v2", 6, wholeStream)
	two := newTestbedWithLedger(t, shared, append(older, newer...)...)
	for range 5 {
		require.Error(t, one.call(resumablePath, "x", headers...).err)
		assert.Equal(t, events(3, 5), two.call(resumablePath, "x", append(headers, platformtest.LastEventID, "2")...).body)
	}
	assert.Zero(t, requestsOf(newer))
	two.update(newer...)
	assert.Equal(t, events(1, 5), two.call(resumablePath, "x", headers...).body)
	got := two.call(resumablePath, "x", append(headers, platformtest.LastEventID, "2")...)
	assert.Equal(t, http.StatusServiceUnavailable, got.status, "either version may have begun it")
}

// The ledger may have stored that a stream begins at one version although the write failed. If
// it then begins at another, the ledger must say so.
func TestFailedRecordOfVersionIsReplaced(t *testing.T) {
	headers := streamKinds["program"]
	shared := newMemoryLedger()
	targets := append(newVersioned("v1", 1, platformtest.StreamEvents(5, 2, 0)), newVersioned("v2", 1, platformtest.StreamEvents(5, 2, 0))...)
	b := newTestbedWithLedger(t, shared, targets...)
	for i := range 8 {
		shared.loseOrigins(i%2 + 1)
		id := fmt.Sprint("begun", i)
		got := b.callWithID(id, resumablePath, "x", headers...)
		if got.err == nil {
			continue
		}
		began := targets[0].ID
		if requests := targets[1].Requests(); len(requests) > 0 && requests[len(requests)-1].Header.Get(platformtest.RequestID) == id {
			began = targets[1].ID
		}
		spending, err := shared.Append(t.Context(), ledger.NewReservation("p", "probe", 0, 1000))
		require.NoError(t, err)
		software, _ := spending.Software(id)
		assert.Equal(t, (&catalog.Target{Service: engineService, Version: began[:2]}).Software(), software)
	}
}

// A stream whose version is gone, or is not known, ends at once, so that its caller starts anew.
func TestStreamOfUnknownOrMissingVersionIsRefused(t *testing.T) {
	for name, headers := range streamKinds {
		t.Run(name, func(t *testing.T) {
			shared := newMemoryLedger()
			one := newTestbedWithLedger(t, shared, newVersioned("v1", 1, platformtest.StreamEvents(5, 2, 0))...)
			require.Error(t, one.callWithID("begun", resumablePath, "x", headers...).err)
			newer := newVersioned("v2", 3, wholeStream)
			two := newTestbedWithLedger(t, shared, newer...)
			for _, resumes := range []string{"begun", "never", ""} {
				if resumes == "" {
					two.update(append(newer, newVersioned("v3", 1, wholeStream)...)...)
				}
				began := time.Now()
				got := two.call(resumablePath, "x", append(headers, platformtest.LastEventID, "2", platformtest.Resumes, resumes)...)
				require.NoError(t, got.err)
				assert.Equal(t, http.StatusServiceUnavailable, got.status, resumes)
				assert.Empty(t, got.header.Get("Retry-After"))
				assert.Less(t, time.Since(began), 500*time.Millisecond)
			}
			assert.Zero(t, requestsOf(newer))
			assert.Equal(t, http.StatusOK, two.call(resumablePath, "x", headers...).status, "it starts anew")
		})
	}
}

// All entries were killed while two versions were in service, or just after the last target of one
// had left, and streams that callers took up went on at the other version, joined from two
// (ORDER). So did those taken up at an entry that had not heard of a new version yet. What an
// entry knows of targets at the moment says nothing of where a stream began.
func TestStreamTakenUpDoesNotDependOnWhatEntryKnows(t *testing.T) {
	for name, headers := range streamKinds {
		for _, resumes := range []string{"begun", ""} {
			for began, known := range map[string]string{"v1": "v2", "v2": "v1"} {
				t.Run(fmt.Sprintf("%s, named %q, began at %s, only %s known", name, resumes, began, known), func(t *testing.T) {
					shared := newMemoryLedger()
					one := newTestbedWithLedger(t, shared, newVersioned(began, 1, platformtest.StreamEvents(5, 2, 0))...)
					require.Error(t, one.callWithID("begun", resumablePath, "x", headers...).err)
					others := newVersioned(known, 3, wholeStream)
					two := newTestbedWithLedger(t, shared, others...)
					takeUp := append(headers, platformtest.LastEventID, "2", platformtest.Resumes, resumes)
					got := two.call(resumablePath, "x", takeUp...)
					require.NoError(t, got.err)
					assert.Equal(t, http.StatusServiceUnavailable, got.status)
					assert.Zero(t, requestsOf(others), "another version gets the rest")
					two.update(append(others, newVersioned(began, 1, wholeStream)...)...)
					assert.Equal(t, events(3, 5), two.call(resumablePath, "x", takeUp...).body)
				})
			}
		}
	}
}

// An entry that has just started knows no targets. A stream whose program has streams of two
// versions may not go on at whichever comes first.
func TestStreamOfUnknownVersionIsRefusedBeforeTargetsAreKnown(t *testing.T) {
	headers := streamKinds["program"]
	shared := newMemoryLedger()
	for _, version := range []string{"v1", "v2"} {
		b := newTestbedWithLedger(t, shared, newVersioned(version, 1, platformtest.StreamEvents(5, 2, 0))...)
		require.Error(t, b.callWithID(version, resumablePath, "x", headers...).err)
	}
	started := newTestbedWithLedger(t, shared)
	got := started.call(resumablePath, "x", append(headers, platformtest.LastEventID, "2")...)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, "stream_version_unknown\n", got.body)
	got = started.call(resumablePath, "x", append(headers, platformtest.LastEventID, "2", platformtest.Resumes, "v1")...)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.NotEmpty(t, got.header.Get("Retry-After"), "its targets may be known soon")
}

// Equal requests that began at two versions can't be told apart by their content.
func TestEqualStreamsOfTwoVersionsAreNotTakenUpWithoutName(t *testing.T) {
	shared := newMemoryLedger()
	for _, version := range []string{"v1", "v2"} {
		b := newTestbedWithLedger(t, shared, newVersioned(version, 1, platformtest.StreamEvents(5, 2, 0))...)
		require.Error(t, b.callWithID(version, resumablePath, "x").err)
	}
	both := append(newVersioned("v1", 1, wholeStream), newVersioned("v2", 1, wholeStream)...)
	b := newTestbedWithLedger(t, shared, both...)
	assert.Equal(t, http.StatusServiceUnavailable, b.call(resumablePath, "x", platformtest.LastEventID, "2").status)
	assert.Equal(t, events(3, 5), b.call(resumablePath, "x", platformtest.LastEventID, "2", platformtest.Resumes, "v1").body)
	assert.Zero(t, requestsOf(both[1:]))
}

// A stream that was taken up on a route that stores turns was stored without its first events, so
// the prompts of all further turns lacked them (review of the relay). Its caller starts anew.
func TestStoredTurnIsNotTakenUp(t *testing.T) {
	target := platformtest.NewTarget("i1", wholeStream)
	b := newTestbed(t)
	b.edit = func(c *catalog.Config) { c.Routes[3].Resumable = true }
	b.update(target)
	for _, headers := range streamKinds {
		got := b.call(storedTurnsPath, "x", append(headers, platformtest.LastEventID, "2")...)
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.Equal(t, "turn_not_resumable\n", got.body)
		assert.Empty(t, target.Requests())
	}
	assert.Equal(t, events(1, 5), b.call(storedTurnsPath, "x").body)
}
