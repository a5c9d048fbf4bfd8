package admit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAdmit(t *testing.T) {
	nearlyFull := CacheState{Tokens: 10_000, Pinned: 8_500, Running: 2}
	tests := []struct {
		name, policy string
		call         Call
		memory       CacheState
		want         bool
	}{
		{"open admits all", Open, Call{New: true, Tokens: 9_000}, nearlyFull, true},
		{"program with a cached conversation is admitted", Cache, Call{Cached: true, Tokens: 9_000}, nearlyFull, true},
		{"new program that does not fit waits", Cache, Call{New: true, Tokens: 1_000}, nearlyFull, false},
		{"new program that fits is admitted", Cache, Call{New: true, Tokens: 400}, nearlyFull, true},
		{"unknown cache size admits", Cache, Call{New: true, Tokens: 9_000}, CacheState{Running: 1}, true},
		{"idle target admits", Cache, Call{New: true, Tokens: 90_000}, CacheState{Tokens: 10_000}, true},
		{"the wait is bounded", Cache, Call{New: true, Tokens: 1_000, Waited: maxWait + 1}, nearlyFull, true},
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
