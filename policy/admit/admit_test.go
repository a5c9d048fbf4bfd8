package admit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAdmit(t *testing.T) {
	full := Memory{Tokens: 10_000, Pinned: 8_500, Running: 2}
	tests := []struct {
		name, policy string
		call         Call
		memory       Memory
		want         bool
	}{
		{"open admits all", Open, Call{New: true, Tokens: 9_000}, full, true},
		{"resident goes on", Cache, Call{Resident: true, Tokens: 9_000}, full, true},
		{"new one that does not fit waits", Cache, Call{New: true, Tokens: 1_000}, full, false},
		{"new one that fits starts", Cache, Call{New: true, Tokens: 400}, full, true},
		{"unknown size admits", Cache, Call{New: true, Tokens: 9_000}, Memory{Running: 1}, true},
		{"idle target admits", Cache, Call{New: true, Tokens: 90_000}, Memory{Tokens: 10_000}, true},
		{"the wait is bounded", Cache, Call{New: true, Tokens: 1_000, Waited: maxHold + 1}, full, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := New(tt.policy)
			require.NoError(t, err)
			require.Equal(t, tt.want, p.Admit(tt.call, tt.memory))
		})
	}
	_, err := New("closed")
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
}
