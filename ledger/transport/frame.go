package transport

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// WriteFrames writes the frames that come, those that wait together, until gone is
// closed or a write fails. One that cannot be encoded, such as for text that is not
// UTF-8, is passed to refused; nothing of it is written.
func WriteFrames[F proto.Message](out io.Writer, frames <-chan F, gone <-chan struct{}, refused func(F, error)) error {
	buffered := bufio.NewWriterSize(out, bufferBytes)
	for {
		select {
		case <-gone:
			return nil
		case frame := <-frames:
			if err := writeFrame(buffered, frame, refused); err != nil {
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

func writeFrame[F proto.Message](out *bufio.Writer, frame F, refused func(F, error)) error {
	encoded, err := proto.Marshal(frame)
	if err != nil {
		refused(frame, err)
		return nil
	}
	if _, err := out.Write(protowire.AppendVarint(nil, uint64(len(encoded)))); err != nil {
		return err
	}
	_, err = out.Write(encoded)
	return err
}
