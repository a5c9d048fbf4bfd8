package transport_test

import (
	"bufio"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

// A frame that cannot be encoded must not prevent the frames before it from being
// flushed.
func TestFramesBeforeUnencodableFrameAreSent(t *testing.T) {
	in, out := io.Pipe()
	frames := make(chan *ledgerpb.Connect, 2)
	frames <- &ledgerpb.Connect{Member: "a"}
	frames <- &ledgerpb.Connect{Member: "\xff"}
	closed := make(chan struct{})
	encodeErrors := 0
	ended := make(chan error, 1)
	go func() {
		ended <- transport.WriteFrames(out, frames, closed, func(*ledgerpb.Connect, error) { encodeErrors++ })
	}()
	var got ledgerpb.Connect
	require.NoError(t, protodelim.UnmarshalFrom(bufio.NewReader(in), &got))
	assert.Equal(t, "a", got.GetMember())
	close(closed)
	require.NoError(t, <-ended)
	assert.Equal(t, 1, encodeErrors)
}
