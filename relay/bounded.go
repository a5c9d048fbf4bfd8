package relay

import (
	"errors"
	"io"
)

const (
	// maxHeadBytes bounds the head of a target's response, including any interim responses.
	maxHeadBytes = 64 << 10
	// maxAnswerBytes bounds an answer that is not a stream, which is held in memory until it
	// is complete.
	maxAnswerBytes = 2 << 20
	// maxDiscardedBytes bounds the rest of a response that is read only so that its connection
	// can be used again.
	maxDiscardedBytes = 64 << 10
	// maxStoredOutputBytes bounds the output of a turn that is stored.
	maxStoredOutputBytes = 8 << 20
)

// Errors of responses without end.
var (
	errHeadTooLarge   = errors.New("head of the target's response exceeds the size limit")
	errAnswerTooLarge = errors.New("target's answer exceeds the size limit")
	errOutputTooLarge = errors.New("output of the turn exceeds the size limit")
)

// headReader reads from a connection and bounds the heads of responses: while a head is read,
// it returns errHeadTooLarge after maxHeadBytes. It is not safe for concurrent use.
type headReader struct {
	io.Reader
	// left is the number of bytes that may still be read; negative if there is no bound.
	left int
}

func (r *headReader) begin() { r.left = maxHeadBytes }
func (r *headReader) end()   { r.left = -1 }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if r.left < 0 {
		return r.Reader.Read(p)
	}
	if r.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.Reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// readBounded reads a whole body of at most maxAnswerBytes.
func readBounded(body io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err == nil && len(content) > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	return content, err
}

// discardBounded reads and drops the rest of a body of at most maxDiscardedBytes.
func discardBounded(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		return errAnswerTooLarge
	}
	return err
}
