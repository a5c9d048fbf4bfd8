package chat

import "bytes"

var (
	dataPrefix = []byte("data:")
	// eventTerminators end an event with a blank line.
	eventTerminators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}
)

// CutEvent splits the first complete event off a stream of server-sent events. It
// returns the event including its terminator, and the rest; ok is false if there
// is no complete event yet.
func CutEvent(b []byte) (event, rest []byte, ok bool) {
	end := -1
	for _, mark := range eventTerminators {
		if i := bytes.Index(b, mark); i >= 0 && (end < 0 || i+len(mark) < end) {
			end = i + len(mark)
		}
	}
	if end < 0 {
		return nil, b, false
	}
	return b[:end], b[end:], true
}

// EventData returns the first data line of an event, or nil if it has none.
func EventData(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(data)
		}
	}
	return nil
}

// finalEventMarks occur only in the events that end an answer. They cannot occur
// in generated text, because quotes inside a JSON string are escaped.
var finalEventMarks = [][]byte{
	[]byte(`"finish_reason":"`),
	[]byte(`"finish_reason": "`),
	[]byte(`"usage":{`),
	[]byte(`"usage": {`),
}

// IsFinalEvent reports whether an event ends a streamed answer: a chunk with a
// finish reason or the usage, or "[DONE]". After any of these events, a client may
// consider the answer complete.
func IsFinalEvent(event []byte) bool {
	if bytes.Equal(EventData(event), []byte(doneData)) {
		return true
	}
	for _, mark := range finalEventMarks {
		if bytes.Contains(event, mark) {
			return true
		}
	}
	return false
}

// contentMarks begin the content of a chunk; emptyContentMarks are the content of
// a chunk without text. Neither can occur in generated text, because quotes inside
// a JSON string are escaped.
var (
	contentMarks      = [][]byte{[]byte(`"content":"`), []byte(`"content": "`)}
	emptyContentMarks = [][]byte{[]byte(`"content":""`), []byte(`"content": ""`)}
)

// HasText reports whether an event of a streamed answer contains text.
func HasText(event []byte) bool {
	for i, mark := range contentMarks {
		if bytes.Contains(event, mark) && !bytes.Contains(event, emptyContentMarks[i]) {
			return true
		}
	}
	return false
}
