package order

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestOrderRanksCalls(t *testing.T) {
	early := Call{Arrived: 0, Attained: 50_000, Age: core.Second, Deadline: 20 * core.Second}
	late := Call{Arrived: core.Instant(core.Second), Attained: 100, Age: 0, Deadline: 20 * core.Second}
	older := late
	older.Age = 15 * core.Second
	muchLater := late
	muchLater.Arrived = core.Instant(200 * core.Second)
	tests := []struct {
		name, order   string
		first, second Call
	}{
		{"arrival decides", FIFO, early, late},
		{"less service decides", LAS, late, early},
		{"earlier arrival outweighs attained service", LAS, early, muchLater},
		{"less time left decides", Slack, older, early},
		{"equal deadlines go by arrival", Slack, early, late},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := New(tt.order)
			require.NoError(t, err)
			require.Less(t, p.Rank(tt.first), p.Rank(tt.second))
		})
	}
	_, err := New("lifo")
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
}
