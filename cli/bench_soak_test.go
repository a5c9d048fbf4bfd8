package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/soak"
)

func TestBenchSoakIsDeterministic(t *testing.T) {
	run := func() soak.Report {
		var out, errs bytes.Buffer
		args := []string{"rhubarbsaddle", "bench", "soak", "--seed", "3", "--events", "20000", "--json"}
		require.Equal(t, ExitOK, Run(context.Background(), args, &out, &errs), errs.String())
		var r soak.Report
		require.NoError(t, json.Unmarshal(out.Bytes(), &r))
		return r
	}
	first := run()
	require.Equal(t, uint64(3), first.Seed)
	require.Len(t, first.Faults, len(soak.Faults()))
	require.NotEmpty(t, first.Digest)
	require.Equal(t, first, run())
}
