package mechanism

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEachNameDisablesOneMechanism(t *testing.T) {
	for i, name := range Names() {
		require.NotEmpty(t, name)
		set, err := Parse([]string{name})
		require.NoError(t, err)
		for j := range Names() {
			assert.Equal(t, i == j, set.Disables(Mechanism(j)), name)
			assert.False(t, Set(0).Disables(Mechanism(j)))
		}
	}
	_, err := Parse([]string{"ejections"})
	assert.ErrorContains(t, err, `"ejections"`)
}
