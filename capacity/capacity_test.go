package capacity

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/bench/slopes"
)

const (
	page        = "../docs/CAPACITY.md"
	recordedDir = "../docs/capacity"
)

// TestPageMatchesRecordedSlopes generates the tables from the recorded slopes and
// compares them with the page. With UPDATE=1 it writes the page instead.
func TestPageMatchesRecordedSlopes(t *testing.T) {
	measured, err := Read(recordedDir)
	require.NoError(t, err)
	part, err := Page(DesignSize, measured)
	require.NoError(t, err)
	have, err := os.ReadFile(page)
	require.NoError(t, err)
	want, err := Replace(string(have), part)
	require.NoError(t, err)
	if os.Getenv("UPDATE") == "1" {
		require.NoError(t, os.WriteFile(page, []byte(want), 0o644))
		return
	}
	require.Equal(t, want, string(have), "run: UPDATE=1 go test ./capacity")
}

func TestRowsScaleWithSlopes(t *testing.T) {
	measured, err := Read(recordedDir)
	require.NoError(t, err)
	before, err := Rows(DesignSize, measured)
	require.NoError(t, err)
	increase := DesignSize.peerSubset() * measured.Slopes.Slope("entry_peer_bytes").PerUnit / 1e3
	measured.Slopes.Slope("entry_peer_bytes").PerUnit *= 2
	after, err := Rows(DesignSize, measured)
	require.NoError(t, err)
	for i := range before {
		if before[i].Resource == "control bytes" {
			require.InDelta(t, before[i].Value+increase, after[i].Value, 1e-9)
			return
		}
	}
	t.Fatal("no row for control bytes")
}

func TestRowsReportMissingSlope(t *testing.T) {
	_, err := Rows(DesignSize, &Measured{Slopes: slopes.Report{}})
	var missing *MissingSlopeError
	require.ErrorAs(t, err, &missing)
}
