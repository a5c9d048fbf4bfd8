package chat

import "bytes"

var (
	dataPrefix = []byte("data:")
	// eventEnds are the blank lines that end an event.
	eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}
)

// CutEvent cuts the first whole event of a stream of server-sent events. It
// returns the event with its end, and what follows; ok is false if no event is
// whole yet.
func CutEvent(b []byte) (event, rest []byte, ok bool) {
	end := -1
	for _, mark := range eventEnds {
		if i := bytes.Index(b, mark); i >= 0 && (end < 0 || i+len(mark) < end) {
			end = i + len(mark)
		}
	}
	if end < 0 {
		return nil, b, false
	}
	return b[:end], b[end:], true
}

// EventData returns the data of an event, or nil if it has none.
func EventData(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(data)
		}
	}
	return nil
}

// endMarks are found only in the events that end an answer: inside of a text
// the quotes would be escaped.
var endMarks = [][]byte{
	[]byte(`"finish_reason":"`),
	[]byte(`"finish_reason": "`),
	[]byte(`"usage":{`),
	[]byte(`"usage": {`),
}

// IsFinalEvent reports whether an event belongs to the end of a streamed answer,
// by which a client takes the answer for whole.
func IsFinalEvent(event []byte) bool {
	if bytes.Equal(EventData(event), []byte(doneData)) {
		return true
	}
	for _, mark := range endMarks {
		if bytes.Contains(event, mark) {
			return true
		}
	}
	return false
}

// textMarks begin the content of a chunk; emptyMarks are those of a chunk
// without text. Inside of a text the quotes would be escaped.
var (
	textMarks  = [][]byte{[]byte(`"content":"`), []byte(`"content": "`)}
	emptyMarks = [][]byte{[]byte(`"content":""`), []byte(`"content": ""`)}
)

// HasText reports whether an event of a streamed answer brings text.
func HasText(event []byte) bool {
	for i, mark := range textMarks {
		if bytes.Contains(event, mark) && !bytes.Contains(event, emptyMarks[i]) {
			return true
		}
	}
	return false
}
