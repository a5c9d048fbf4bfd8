package transport

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// WriteFrames writes frames until closed is closed or a write fails. Frames that are
// queued at the same time are flushed together. A frame that cannot be encoded, such as
// one whose text is not valid UTF-8, is passed to onEncodeError and skipped.
func WriteFrames[F proto.Message](out io.Writer, frames <-chan F, closed <-chan struct{}, onEncodeError func(F, error)) error {
	buffered := bufio.NewWriterSize(out, bufferBytes)
	for {
		select {
		case <-closed:
			return nil
		case frame := <-frames:
			if err := writeFrame(buffered, frame, onEncodeError); err != nil {
				return err
			}
		}
		if len(frames) > 0 {
			continue
		}
		if err := buffered.Flush(); err != nil {
			return err
		}
	}
}

func writeFrame[F proto.Message](out *bufio.Writer, frame F, onEncodeError func(F, error)) error {
	encoded, err := proto.Marshal(frame)
	if err != nil {
		onEncodeError(frame, err)
		return nil
	}
	if _, err := out.Write(protowire.AppendVarint(nil, uint64(len(encoded)))); err != nil {
		return err
	}
	_, err = out.Write(encoded)
	return err
}
