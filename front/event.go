package front

import "bytes"

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
	// eventEnds are the blank lines that end a server-sent event.
	eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}
)

// cutEvent cuts the first whole event of a stream of server-sent events. It
// returns the event with its end, and what follows; ok is false if no event is
// whole yet.
func cutEvent(b []byte) (event, rest []byte, ok bool) {
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

// eventData returns the data of an event, or nil if it has none.
func eventData(event []byte) []byte {
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

// endsAnswer reports whether an event belongs to the end of a streamed answer,
// by which a client takes the answer for whole.
func endsAnswer(event []byte) bool {
	if bytes.Equal(eventData(event), doneData) {
		return true
	}
	for _, mark := range endMarks {
		if bytes.Contains(event, mark) {
			return true
		}
	}
	return false
}
