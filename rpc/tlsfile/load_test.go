package tlsfile

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/ca"
)

func TestLoadRejectsPartialSettings(t *testing.T) {
	authority, err := ca.New(t.TempDir())
	require.NoError(t, err)
	good, err := authority.Issue("server")
	require.NoError(t, err)
	for _, bad := range []config.TLS{
		{Cert: good.Cert},
		{CA: good.CA},
		{Cert: good.Cert, Key: good.Key, CA: good.Key},
	} {
		_, err := Load(bad)
		var e *FileError
		require.ErrorAs(t, err, &e)
	}
}
