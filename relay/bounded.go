package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

const (
	// maxHeadBytes bounds the head of a target's response.
	maxHeadBytes = 64 << 10
	// smallHeadBytes is the size up to which a head is part of what a request is charged for in any
	// case, and headCopies how many times the process holds a larger one, as it arrived and as
	// parsed fields.
	smallHeadBytes = 4 << 10
	headCopies     = 4
	// maxAnswerBytes bounds an answer that is not a stream, which is held in memory until it
	// is complete.
	maxAnswerBytes = 2 << 20
	// smallAnswerBytes is the size up to which an answer is part of what a request is charged for
	// in any case.
	smallAnswerBytes = 16 << 10
	// maxDiscardedBytes bounds the rest of a response that is read only so that its connection
	// can be used again.
	maxDiscardedBytes = 64 << 10
	// maxStoredOutputBytes bounds the output of a turn that is stored.
	maxStoredOutputBytes = 8 << 20
	// framingFactor bounds what is read from the connection for a body or an event, as a
	// multiple of the bound of its content. Chunks of one byte take up to 20 times their content.
	framingFactor = 2
)

// Errors of responses without end.
var (
	errHeadTooLarge   = errors.New("head of the target's response exceeds the size limit")
	errAnswerTooLarge = errors.New("target's answer exceeds the size limit")
	errOutputTooLarge = errors.New("output of the turn exceeds the size limit")
)

// boundedReader reads from a connection and bounds what a part of a response may take there:
// between begin and end, it returns an error after a number of bytes. It is not safe for
// concurrent use.
type boundedReader struct {
	io.Reader
	// left is the number of bytes that may still be read; negative if there is no bound.
	left int
	err  error
	// extend, if not nil, is called once when no byte is left. It returns how many more may be read.
	extend func() (int, error)
}

func (r *boundedReader) begin(limit int, err error) { r.left, r.err, r.extend = limit, err, nil }
func (r *boundedReader) end()                       { r.left = -1 }

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left < 0 {
		return r.Reader.Read(p)
	}
	if r.left == 0 && r.extend != nil {
		more, err := r.extend()
		if err != nil {
			return 0, err
		}
		r.left, r.extend = more, nil
	}
	if r.left == 0 {
		return 0, r.err
	}
	n, err := r.Reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// beginHead bounds the head of a response. Before more than smallHeadBytes are read, takeMemory is
// called with what a larger head may take.
func (c *conn) beginHead(takeMemory func(bytes int) bool) {
	c.source.begin(smallHeadBytes, errHeadTooLarge)
	c.source.extend = func() (int, error) {
		if !takeMemory(headCopies * maxHeadBytes) {
			return 0, errNoMemory
		}
		return maxHeadBytes - smallHeadBytes, nil
	}
}

// readBounded reads the whole body of a response, of at most maxAnswerBytes. Before more than
// smallAnswerBytes are held, it calls takeMemory with the size that the body may have.
func (c *conn) readBounded(response *http.Response, takeMemory func(bytes int) error) ([]byte, error) {
	size := maxAnswerBytes
	var content bytes.Buffer
	if n := response.ContentLength; n >= 0 {
		size = int(min(n, maxAnswerBytes))
		content.Grow(min(size, smallAnswerBytes) + bytes.MinRead)
	}
	c.source.begin(framingFactor*maxAnswerBytes, errAnswerTooLarge)
	defer c.source.end()
	if _, err := io.CopyN(&content, response.Body, smallAnswerBytes); errors.Is(err, io.EOF) {
		return content.Bytes(), nil
	} else if err != nil {
		return nil, err
	}
	if err := takeMemory(size); err != nil {
		return nil, err
	}
	if response.ContentLength >= 0 {
		content.Grow(size - content.Len() + bytes.MinRead)
	}
	if _, err := content.ReadFrom(io.LimitReader(response.Body, int64(maxAnswerBytes+1-content.Len()))); err != nil {
		return nil, err
	}
	if content.Len() > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	return content.Bytes(), nil
}

// discardBounded reads and drops the rest of a body of at most maxDiscardedBytes.
func (c *conn) discardBounded(body io.Reader) error {
	c.source.begin(framingFactor*maxDiscardedBytes, errAnswerTooLarge)
	defer c.source.end()
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		return errAnswerTooLarge
	}
	return err
}
