// Package answer defines the framing of a target's answer, as sidecars store it
// and ingress entries read it: one line with the head as JSON, then the body
// unchanged.
package answer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// maxHeadBytes bounds the line with the head.
const maxHeadBytes = 4096

// Head is the HTTP status and content type of an answer.
type Head struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
}

// HeadError reports data that does not begin with a valid head.
type HeadError struct{ Err error }

// Error returns the cause.
func (e *HeadError) Error() string { return fmt.Sprintf("answer head: %v", e.Err) }

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.Err }

// AppendHead appends the line with the head to b.
func AppendHead(b []byte, h Head) []byte {
	line, err := json.Marshal(h)
	if err != nil {
		line = []byte("{}")
	}
	b = append(b, line...)
	return append(b, '\n')
}

// SplitHead separates the head from the body. ok is false as long as the head is
// incomplete. Errors are of type *HeadError.
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
