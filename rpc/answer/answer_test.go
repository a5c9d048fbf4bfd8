package answer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCutAtEveryByte(t *testing.T) {
	want := Head{Status: 201, ContentType: "text/plain"}
	framed := append(AppendHead(nil, want), "body\nwith lines"...)
	begin := len(framed) - len("body\nwith lines")
	for n := range framed {
		h, body, ok, err := SplitHead(framed[:n])
		require.NoError(t, err)
		require.Equal(t, n >= begin, ok)
		if ok {
			require.Equal(t, want, h)
			require.Equal(t, string(framed[begin:n]), string(body))
		}
	}
}

func TestCutRefuses(t *testing.T) {
	for _, framed := range []string{"no json\n", `{"status":7}` + "\n", string(make([]byte, maxHeadBytes+1))} {
		_, _, ok, err := SplitHead([]byte(framed))
		require.False(t, ok)
		var refused *HeadError
		require.ErrorAs(t, err, &refused)
	}
}

func FuzzCut(f *testing.F) {
	f.Add(AppendHead(nil, Head{Status: 200, ContentType: "a/b"}))
	f.Fuzz(func(t *testing.T, framed []byte) {
		h, body, ok, err := SplitHead(framed)
		if err != nil || !ok {
			return
		}
		require.GreaterOrEqual(t, h.Status, 100)
		require.LessOrEqual(t, len(body), len(framed))
	})
}
