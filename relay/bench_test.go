package relay_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// BenchmarkTurn measures a turn of twelve events, including caller and target.
func BenchmarkTurn(b *testing.B) {
	tb := newTestbed(b, platformtest.NewTarget("i1", platformtest.StreamEvents(12, 0, 0)))
	body := strings.Repeat("x", 17_000)
	for b.Loop() {
		require.NoError(b, tb.call(resumablePath, body, program, "p", budget, "1000000000", usage, "5,0").err)
	}
}

// BenchmarkCall measures a call whose answer is not a stream, including caller and
// target.
func BenchmarkCall(b *testing.B) {
	tb := newTestbed(b, platformtest.NewTarget("i1", platformtest.Respond(200, strings.Repeat("x", 800))))
	for b.Loop() {
		require.NoError(b, tb.call(nonIdempotentPath, "x").err)
	}
}
