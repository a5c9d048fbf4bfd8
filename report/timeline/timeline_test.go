package timeline_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/report/timeline"
)

// entryLog and memberLog are shortened logs of a replayed day.
const (
	entryLog = `   1.9106 edge-1 {"time":"2026-07-15T10:49:01.000Z","level":"warn","vm":"edge-1","event":"store_lost","error":"reset"}
{"time":"2026-07-15T10:48:01.000Z","level":"info","vm":"edge-1","event":"start"}
{"time":"2026-07-15T10:49:05.004Z","level":"info","vm":"edge-1","event":"attempt_failed","request":"r1","target":"i-1","peer":"10.1.0.1:80","send":1,"fate":2,"status":0,"cause":"reset by peer"}
{"time":"2026-07-15T10:49:05.008Z","level":"info","vm":"edge-1","event":"request_end","request":"r1","program":"p1","status":502,"reason":"answer_lost","sends":1,"runs":1,"target":"i-1","load":2.5,"kept":12600,"took":42.7,"cause":"reset by peer"}
no line of ours
{"time":"2026-07-15T10:49:05.1Z","level":"info","vm":"ed   2.6 edge-1 {"time":"2026-07-15T10:49:05.200Z","level":"info","vm":"edge-1","event":"request_end","request":"r2","program":"p1","status":503,"reason":"overloaded","took":3,"cause":null}
`
	memberLog = `{"time":"2026-07-15T10:49:05.100Z","level":"info","vm":"storage-1","event":"store_lost"}
{"time":"2026-07-15T10:49:05.300Z","level":"info","vm":"edge-2","event":"request_end","request":"r3","program":"p1","status":200,"reason":"answered","took":8,"cause":null}
`
)

func read(t *testing.T) []timeline.Line {
	t.Helper()
	var all []timeline.Line
	totalSkipped := 0
	for _, log := range []string{memberLog, entryLog} {
		lines, skipped, err := timeline.Read(strings.NewReader(log))
		require.NoError(t, err)
		all = append(all, lines...)
		totalSkipped += skipped
	}
	assert.Equal(t, 1, totalSkipped)
	return all
}

func TestRequestTimelineIncludesEventsOfItsProcess(t *testing.T) {
	got := timeline.New("r1", read(t))
	require.Len(t, got.Causes(), 1)
	assert.Contains(t, got.Causes()[0], "request r1 at edge-1 ended with 502")
	assert.Contains(t, got.Causes()[0], "reset by peer; failed attempts at i-1")
	var out bytes.Buffer
	require.NoError(t, got.Write(&out))
	text := out.String()
	assert.Contains(t, text, "store_lost", "4 s before")
	assert.NotContains(t, text, "start", "a minute before")
	assert.NotContains(t, text, "storage-1", "did not handle the request")
	assert.Contains(t, text, "kept=12600")
	assert.Less(t, strings.Index(text, "attempt_failed"), strings.Index(text, "request_end"))
}

func TestProgramTimelineSpansProcesses(t *testing.T) {
	got := timeline.New("p1", read(t))
	assert.Len(t, got.Causes(), 2, "of three requests one was answered")
	var out bytes.Buffer
	require.NoError(t, got.Write(&out))
	assert.Contains(t, out.String(), "edge-2")
	assert.Contains(t, out.String(), "reason=overloaded")
}

// Older versions named such a stream stream_broken.
func TestStreamPastDeadlineIsNotAttributedToItsEngine(t *testing.T) {
	for _, reason := range []string{"out_of_time", "stream_broken"} {
		lines, _, err := timeline.Read(strings.NewReader(
			`{"time":"2026-07-15T10:49:05Z","vm":"edge-1","event":"request_end","request":"r1","status":0,"reason":"` + reason + `","cause":"read tcp 10.1.0.1:1->10.1.0.2:2: i/o timeout"}`))
		require.NoError(t, err)
		assert.Contains(t, timeline.New("r1", lines).Causes()[0], "its time was over in the middle of the stream", reason)
	}
}

func TestUnknownRequestHasNoTimeline(t *testing.T) {
	assert.Empty(t, timeline.New("r9", read(t)).Lines)
}
