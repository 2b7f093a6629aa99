package forwarder

import (
	"bytes"
	"errors"
	"io"
)

// errTruncatedEvent reports a stream that ended inside an event, or an event that is larger than maxAnswerBytes.
var errTruncatedEvent = errors.New("stream ended inside an event")

// event is one server-sent event, including the empty line that ends it.
type event struct {
	data []byte
	id   string
}

// eventReader splits a stream into events.
type eventReader struct {
	source io.Reader
	buffer []byte
	// start and end delimit the bytes of buffer that were read but not returned yet.
	start, end int
}

// eventBufferSize is the initial size of the buffer in bytes. It holds a typical event; larger ones grow the buffer.
const eventBufferSize = 4 << 10

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, buffer: make([]byte, eventBufferSize)}
}

var eventEnd = []byte("\n\n")

// buffered reports whether another complete event is in the buffer.
func (r *eventReader) buffered() bool { return bytes.Contains(r.buffer[r.start:r.end], eventEnd) }

// next returns the next event, whose data is valid until the next call. It returns io.EOF at the end of the stream, and errTruncatedEvent if
// the stream ends inside an event or the event is larger than maxAnswerBytes.
func (r *eventReader) next() (event, error) {
	for {
		if at := bytes.Index(r.buffer[r.start:r.end], eventEnd); at >= 0 {
			data := r.buffer[r.start : r.start+at+len(eventEnd)]
			r.start += len(data)
			return event{data: data, id: eventID(data)}, nil
		}
		if r.start > 0 {
			r.end = copy(r.buffer, r.buffer[r.start:r.end])
			r.start = 0
		}
		if r.end == len(r.buffer) {
			if len(r.buffer) >= maxAnswerBytes {
				return event{}, errTruncatedEvent
			}
			r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
		}
		n, err := r.source.Read(r.buffer[r.end:])
		r.end += n
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) && r.end > 0 {
			return event{}, errTruncatedEvent
		}
		if err != nil {
			return event{}, err
		}
	}
}

// eventID returns the value of the id field of an event, or "" if there is none.
func eventID(data []byte) string {
	for len(data) > 0 {
		line, rest, _ := bytes.Cut(data, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
		data = rest
	}
	return ""
}
