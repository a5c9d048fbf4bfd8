package recovery

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestProgramsRecoverFromEveryFailure runs two trials of each failure: no
// invariant is violated, and every affected program gets an answer afterwards.
func TestProgramsRecoverFromEveryFailure(t *testing.T) {
	results := Run(1, 2)
	require.Len(t, results, len(failures()))
	for _, r := range results {
		require.Empty(t, r.ViolationTexts, r.Failure)
		require.NotZero(t, r.Affected, r.Failure)
		require.Zero(t, r.Unrecovered, r.Failure)
		require.Greater(t, r.P50, 0.0, r.Failure)
		require.GreaterOrEqual(t, r.Max, r.P50, r.Failure)
	}
	require.Equal(t, results, Run(1, 2), "equal seeds give equal results")
	var out bytes.Buffer
	require.NoError(t, Print(&out, results))
	require.Contains(t, out.String(), "failure domain cut off")
}
