// Package answer frames the answer of a target as the bytes that a sidecar
// keeps and an edge reads: one line with the head, then the body unchanged.
package answer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// maxHeadBytes bounds the first line.
const maxHeadBytes = 4096

// Head is what an answer has beside its body.
type Head struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
}

// HeadError reports bytes that do not begin with a head.
type HeadError struct{ Err error }

// Error returns the cause.
func (e *HeadError) Error() string { return fmt.Sprintf("answer head: %v", e.Err) }

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.Err }

// AppendHead appends the head's line to b.
func AppendHead(b []byte, h Head) []byte {
	line, err := json.Marshal(h)
	if err != nil {
		line = []byte("{}")
	}
	b = append(b, line...)
	return append(b, '\n')
}

// SplitHead separates the head from the body. ok is false while the head is not
// whole.
func SplitHead(b []byte) (h Head, body []byte, ok bool, err error) {
	line, body, ok := bytes.Cut(b, []byte{'\n'})
	if !ok {
		if len(b) > maxHeadBytes {
			return h, nil, false, &HeadError{Err: errors.New("is too long")}
		}
		return h, nil, false, nil
	}
	if err := json.Unmarshal(line, &h); err != nil {
		return h, nil, false, &HeadError{Err: err}
	}
	if h.Status < 100 || h.Status > 999 {
		return h, nil, false, &HeadError{Err: fmt.Errorf("status %d", h.Status)}
	}
	return h, body, true, nil
}
