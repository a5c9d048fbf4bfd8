package timeline

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The clock of e1 is an hour ahead. The supervisor receives some lines up to 100 ms late.
const restartLog = `
34.000 m1 {"time":"2026-03-22T10:00:34.000Z","vm":"m1","event":"request_end","reason":"answered"}
35.190 m1 {"time":"2026-03-22T10:00:35.100Z","vm":"m1","event":"start","role":"ledger"}
35.190 m1 {"time":"2026-03-22T10:00:35.150Z","vm":"m1","event":"disk_read"}
37.000 m1 {"time":"2026-03-22T10:00:37.000Z","vm":"m1","event":"view_applied"}
35.300 e1 {"time":"2026-03-22T11:00:35.300Z","vm":"e1","event":"start","role":"entry"}
35.420 e1 {"time":"2026-03-22T11:00:35.400Z","vm":"e1","event":"config_applied"}
35.600 e1 {"time":"2026-03-22T11:00:35.500Z","vm":"e1","event":"request_end","reason":"ledger_unavailable","took":20}
35.910 e1 {"time":"2026-03-22T11:00:35.900Z","vm":"e1","event":"request_end","reason":"answered","took":300,"first":100}
36.000 e1 {"time":"2026-03-22T11:00:36.000Z","vm":"e1","event":"request_end","reason":"answered","took":500,"first":90}
60.000 e1 {"time":"2026-03-22T11:01:00Z","vm":"e1","event":"start","role":"entry"}
`

func TestRestartsShowStepsUntilTheFirstTurn(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(restartLog))
	require.NoError(t, err)
	assert.Equal(t, 1, skipped)
	restarts := Restarts(lines)
	require.Len(t, restarts, 2)
	require.Len(t, restarts[0].Processes, 2)
	member, entry := restarts[0].Processes[0], restarts[0].Processes[1]
	ms := time.Millisecond
	assert.Equal(t, 50*ms, member.Steps["disk_read"].Round(ms))
	assert.Zero(t, member.FirstTurn)
	assert.Equal(t, 200*ms, entry.Started.Round(ms))
	assert.Equal(t, 490*ms, entry.FirstTurn.Round(ms), "the earliest first event, not the earliest end")
	assert.Equal(t, 1, entry.Refused)
	var text strings.Builder
	require.NoError(t, WriteRestarts(&text, restarts))
	assert.Contains(t, text.String(), "90th percentile 490 ms")
}
