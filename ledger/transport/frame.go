package transport

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// ErrFrameTooLarge means that a peer announced a frame of more than MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame exceeds the size limit")

// requestHeadBytes is how much of a request is needed to know its seq and its kind, which are
// encoded first.
const requestHeadBytes = 32

// RequestHead is what is known of a request before it is read.
type RequestHead struct {
	Seq uint64
	// IsRelay means that the request is a Relay.
	IsRelay bool
	// Bytes is the size of the encoded request.
	Bytes int
}

// ReadRequest reads one request. If admit returns false for its head, it drops the request and
// returns nil.
func ReadRequest(in *bufio.Reader, admit func(RequestHead) bool) (*ledgerpb.Request, RequestHead, error) {
	size, err := binary.ReadUvarint(in)
	if err != nil {
		return nil, RequestHead{}, err
	}
	if size > MaxFrameBytes {
		return nil, RequestHead{}, ErrFrameTooLarge
	}
	encoded, err := in.Peek(min(int(size), requestHeadBytes))
	if err != nil {
		return nil, RequestHead{}, err
	}
	head := parseHead(encoded)
	head.Bytes = int(size)
	if !admit(head) {
		_, err := io.CopyN(io.Discard, in, int64(size))
		return nil, head, err
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(in, frame); err != nil {
		return nil, head, err
	}
	req := &ledgerpb.Request{}
	return req, head, proto.Unmarshal(frame, req)
}

// parseHead returns what the beginning of an encoded request says.
func parseHead(encoded []byte) (head RequestHead) {
	fields := (&ledgerpb.Request{}).ProtoReflect().Descriptor().Fields()
	seq, relay := fields.ByName("seq").Number(), fields.ByName("relay").Number()
	for {
		number, kind, n := protowire.ConsumeTag(encoded)
		if n < 0 || kind != protowire.VarintType {
			head.IsRelay = n > 0 && number == relay
			return head
		}
		value, m := protowire.ConsumeVarint(encoded[n:])
		if m < 0 {
			return head
		}
		if number == seq {
			head.Seq = value
		}
		encoded = encoded[n+m:]
	}
}

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
