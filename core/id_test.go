package core

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSubAgentIDKeepsRootAndSlot(t *testing.T) {
	tests := []struct {
		id     ProgramID
		root   ProgramID
		parent ProgramID
		depth  int
	}{
		{"a", "a", "", 0},
		{"a/b", "a", "a", 1},
		{"a/b/c", "a", "a/b", 2},
	}
	for _, tt := range tests {
		require.Equal(t, tt.root, tt.id.Root())
		require.Equal(t, tt.parent, tt.id.Parent())
		require.Equal(t, tt.depth, tt.id.Depth())
		require.Equal(t, tt.root.Slot(64), tt.id.Slot(64))
	}
}

func TestEpochsOrderByVersionThenRank(t *testing.T) {
	ordered := []Epoch{{0, 0}, {1, 0}, {1, 3}, {2, 0}, {2, 1}}
	for i := range ordered {
		for j := range ordered {
			require.Equal(t, i < j, ordered[i].Less(ordered[j]), "%s < %s", ordered[i], ordered[j])
		}
	}
}
