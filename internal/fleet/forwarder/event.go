package forwarder

import (
	"bytes"
	"errors"
	"io"
)

// errTruncatedEvent reports a stream that ended inside an event, or an event that is larger than maxEventBytes.
var errTruncatedEvent = errors.New("stream ended inside an event")

// errNoEvent reports bytes in a stream that are no event, such as the header of another response.
var errNoEvent = errors.New("stream contains bytes that are no event")

// errNoMemory reports an event for which the node has no memory.
var errNoMemory = errors.New("no memory for an event")

// event is one server-sent event, including the empty line that ends it.
type event struct {
	data []byte
	id   string
	// filler is set if there are only comments and empty lines. An engine may send them without making progress.
	filler bool
}

// eventReader splits a stream into events. Lines end with "\n" or "\r\n".
type eventReader struct {
	source io.Reader
	// charge is called with the size of the buffer before it grows.
	charge func(bytes int) error
	buffer []byte
	// start and end delimit the bytes of buffer that were read but not returned yet.
	start, end int
	// line is where the first line begins that was not searched yet, and complete is set if the event from start to line is complete.
	line     int
	complete bool
}

// eventBufferSize is the initial size of the buffer in bytes. It holds a typical event; larger ones grow the buffer.
const eventBufferSize = 4 << 10

func newEventReader(source io.Reader, charge func(bytes int) error) *eventReader {
	return &eventReader{source: source, charge: charge, buffer: make([]byte, eventBufferSize)}
}

// buffered reports whether a complete event is in the buffer.
func (r *eventReader) buffered() bool {
	for !r.complete {
		size := bytes.IndexByte(r.buffer[r.line:r.end], '\n')
		if size < 0 {
			return false
		}
		line := r.buffer[r.line : r.line+size]
		r.line += size + 1
		r.complete = len(bytes.TrimSuffix(line, []byte("\r"))) == 0
	}
	return true
}

// next returns the next event, whose data is valid until the next call. It returns io.EOF at the end of the stream, errTruncatedEvent if the
// stream ends inside an event or the event is larger than maxEventBytes, errNoMemory if there is no memory for it, and errNoEvent for bytes that are no event.
func (r *eventReader) next() (event, error) {
	for {
		if r.buffered() {
			data := r.buffer[r.start:r.line]
			r.start, r.complete = r.line, false
			return newEvent(data)
		}
		if r.start > 0 {
			r.end = copy(r.buffer, r.buffer[r.start:r.end])
			r.line -= r.start
			r.start = 0
		}
		if r.end == len(r.buffer) {
			if len(r.buffer) >= maxEventBytes {
				return event{}, errTruncatedEvent
			}
			const copied = 3 // The buffer and the one of twice its size that replaces it.
			if r.charge(copied*len(r.buffer)) != nil {
				return event{}, errNoMemory
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

// newEvent returns the event with the given bytes, or errNoEvent if they contain a line that is neither a comment nor a field.
func newEvent(data []byte) (event, error) {
	e := event{data: data, filler: true}
	for len(data) > 0 {
		line, rest, _ := bytes.Cut(data, []byte("\n"))
		data = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, hasValue := bytes.Cut(line, []byte(":"))
		if !hasValue && !isFieldName(string(name)) {
			return event{}, errNoEvent
		}
		e.filler = false
		if string(name) == "id" {
			e.id = string(bytes.TrimSpace(value))
		}
	}
	return e, nil
}

// isFieldName reports whether a line may consist of the name only.
func isFieldName(name string) bool {
	switch name {
	case "data", "event", "id", "retry":
		return true
	default:
		return false
	}
}
