package forwarder

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestEventReader guards against events that are split, joined or lost, and against a truncated event that is forwarded.
func TestEventReader(t *testing.T) {
	tests := []struct {
		name, input string
		ids         []string
		err         error
	}{
		{"empty stream", "", nil, io.EOF},
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, io.EOF},
		{"without id", "data: a\n\n", []string{""}, io.EOF},
		{"first line of the platform", "weight-versions: 4\nid: 7\ndata: a\n\n", []string{"7"}, io.EOF},
		{"truncated inside an event", "id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, errTruncatedEvent},
		{"lines end with CRLF", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", []string{"1", "2"}, io.EOF},
		{"truncated inside CRLF", "id: 1\r\n\r\nid: 2\r\n\r", []string{"1"}, errTruncatedEvent},
		{"field without a value", "id: 1\ndata\n\n", []string{"1"}, io.EOF},
		{"header of a response", "id: 1\ndata: a\n\nHTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\nfail", []string{"1"}, errNoEvent},
		{"header of a response inside an event", "id: 1\ndata: a\n\nid: 2\ndaHTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\nfail", []string{"1"}, errNoEvent},
		{"text", "id: 1\ndata: a\n\nno such thing\n\n", []string{"1"}, errNoEvent},
		{"empty lines", "id: 1\n\n\n\r\n", []string{"1", "", ""}, io.EOF},
		{"larger than the buffer", "id: 1\ndata: " + strings.Repeat("x", 3*eventBufferSize) + "\n\nid: 2\n\n", []string{"1", "2"}, io.EOF},
	}
	for _, tt := range tests {
		for _, source := range []struct {
			name string
			wrap func(io.Reader) io.Reader
		}{
			{"whole", func(r io.Reader) io.Reader { return r }}, {"byte by byte", iotest.OneByteReader}, {"data with error", iotest.DataErrReader},
		} {
			t.Run(tt.name+"/"+source.name, func(t *testing.T) {
				reader := newEventReader(source.wrap(strings.NewReader(tt.input)), func(int) error { return nil })
				var ids []string
				var passed bytes.Buffer
				for {
					e, err := reader.next()
					if err != nil {
						assert.Assert(t, errors.Is(err, tt.err), "%v", err)
						break
					}
					ids = append(ids, e.id)
					passed.Write(e.data)
				}
				assert.DeepEqual(t, ids, tt.ids)
				assert.Assert(t, strings.HasPrefix(tt.input, passed.String()))
			})
		}
	}
}
