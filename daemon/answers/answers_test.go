package answers

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

var id = core.AttemptID{Slot: 1, N: 2}

// serveToChannel serves the answer in the background. It returns the responses
// and the error with which Serve ended.
func serveToChannel(t *testing.T, b *Buffers, offset uint64) (<-chan *peerpb.AttachResponse, <-chan error) {
	parts := make(chan *peerpb.AttachResponse, 100)
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		done <- b.Serve(ctx, id, offset, func(p *peerpb.AttachResponse) error {
			parts <- p
			return nil
		})
	}()
	return parts, done
}

func TestReaderAttachedBeforeFirstWriteGetsAnswer(t *testing.T) {
	b := New()
	parts, done := serveToChannel(t, b, 0)
	require.True(t, (<-parts).GetHeartbeat(), "a reader of an unknown attempt waits, since the attempt may still start")
	b.Append(id, []byte("ab"))
	for part := range parts {
		if !part.GetHeartbeat() {
			require.Equal(t, "ab", string(part.GetData()))
			break
		}
	}
	b.Finish(id)
	require.NoError(t, <-done)
	var last *peerpb.AttachResponse
	for len(parts) > 0 {
		last = <-parts
	}
	require.True(t, last.GetEnd())
	require.EqualValues(t, 2, last.GetLength())
}

func TestReadFromOffset(t *testing.T) {
	b := New()
	b.Append(id, []byte("abcdef"))
	b.Finish(id)
	parts, done := serveToChannel(t, b, 4)
	require.NoError(t, <-done)
	part := <-parts
	require.Equal(t, "ef", string(part.GetData()))
	require.EqualValues(t, 4, part.GetOffset())
	require.True(t, part.GetEnd())
	_, done = serveToChannel(t, b, 7)
	require.Equal(t, connect.CodeOutOfRange, connect.CodeOf(<-done))
}

func TestReadersOfDroppedAnswerGetNotFound(t *testing.T) {
	b := New()
	b.Append(id, []byte("ab"))
	parts, done := serveToChannel(t, b, 0)
	<-parts
	b.Drop(id)
	require.Equal(t, connect.CodeNotFound, connect.CodeOf(<-done))
	_, done = serveToChannel(t, b, 0)
	require.Equal(t, connect.CodeNotFound, connect.CodeOf(<-done))
	b.Append(id, []byte("late"))
	count, size := b.Size()
	require.Zero(t, count+size, "data that arrives after the drop is not stored")
}

func TestReadOfUnknownAttemptLeavesNoBuffer(t *testing.T) {
	b := New()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	require.Error(t, b.Serve(ctx, id, 0, func(*peerpb.AttachResponse) error { return nil }))
	count, _ := b.Size()
	require.Zero(t, count)
}
