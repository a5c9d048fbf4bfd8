package tlsfile

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/tlsfile/tlstest"
)

func TestLoadRefusesPartialSettings(t *testing.T) {
	good := tlstest.NewAuthority(t).Issue(t, t.TempDir(), 1)
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
