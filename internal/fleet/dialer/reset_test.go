package dialer

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scriptedConn is a connection whose reads and writes return what the test says. Reading beyond the response returns endErr.
type scriptedConn struct {
	net.Conn
	response *strings.Reader
	endErr   error
	// writeErr is what a write returns once release is closed.
	writeErr error
	release  chan struct{}
	// ended is closed once endErr was returned, and wrote once writeErr was.
	ended, wrote         chan struct{}
	endOnce, releaseOnce sync.Once
	wroteOnce            sync.Once
}

func newScriptedConn(response string, endErr, writeErr error) *scriptedConn {
	return &scriptedConn{
		response: strings.NewReader(response), endErr: endErr, writeErr: writeErr,
		release: make(chan struct{}), ended: make(chan struct{}), wrote: make(chan struct{}),
	}
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if n, err := c.response.Read(p); err == nil {
		return n, nil
	}
	defer c.endOnce.Do(func() { close(c.ended) })
	return 0, c.endErr
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	<-c.release
	defer c.wroteOnce.Do(func() { close(c.wrote) })
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return len(p), nil
}

func (c *scriptedConn) finishWrite() { c.releaseOnce.Do(func() { close(c.release) }) }

func (c *scriptedConn) Close() error {
	c.finishWrite()
	return nil
}
func (c *scriptedConn) SetDeadline(time.Time) error     { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// sendLong sends a request with a long body on a scripted connection and reads the header of the response.
func sendLong(t *testing.T, conn *scriptedConn, timeout time.Duration) (*Exchange, *Response) {
	t.Helper()
	const address = "scripted"
	pool, closePool := NewPool(1)
	t.Cleanup(closePool)
	source := &responseReader{reader: conn, left: math.MaxInt64}
	pool.Put(&Conn{Conn: conn, Reader: bufio.NewReaderSize(source, readBufferSize), source: source, address: address}, 0, 0)
	x, err := pool.Send(t.Context(), address, Outgoing{Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, maxInlineBody+1)})
	assert.NilError(t, err)
	t.Cleanup(func() { x.Close(false) })
	response, err := x.ReadResponse(http.MethodPost, timeout, func(http.Header) bool { return true })
	assert.NilError(t, err)
	return x, response
}

// TestResetWhileWriting guards against taking a part of a response for the whole one: if the writer of a long body meets the reset of the connection first, the
// reader sees a plain end. It also guards against rejecting a response that is complete although the request was not written to its end.
func TestResetWhileWriting(t *testing.T) {
	const (
		unframed = "HTTP/1.1 200 OK\r\n\r\n"
		framed   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
		closing  = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\n"
		chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n"
		interim  = "HTTP/1.1 100 Continue\r\n\r\n"
	)
	reset, pipe := error(syscall.ECONNRESET), error(syscall.EPIPE)
	tests := []struct {
		name, response   string
		endErr, writeErr error
		complete         bool
	}{
		{"unframed, the writer meets the reset", unframed + "part", io.EOF, reset, false},
		{"unframed, the writer meets a closed connection", unframed + "part", io.EOF, pipe, false},
		{"unframed, the reader meets the reset", unframed + "part", reset, pipe, false},
		{"unframed, the reader meets the reset after the request", unframed + "part", reset, nil, false},
		{"unframed, empty", unframed, io.EOF, reset, false},
		{"unframed, behind an interim response", interim + unframed + "part", io.EOF, reset, false},
		{"unframed, request written", unframed + "all.", io.EOF, nil, true},
		{"length", framed + "all.", io.EOF, reset, true},
		{"length, the reader would meet the reset", framed + "all.", reset, pipe, true},
		{"length, closed", closing + "all.", io.EOF, reset, true},
		{"length, cut", framed + "cut", io.EOF, reset, false},
		{"chunks", chunked + "all.\r\n0\r\n\r\n", io.EOF, reset, true},
		{"chunks, cut", chunked + "part\r\n", io.EOF, reset, false},
	}
	for _, tt := range tests {
		for _, order := range []string{"writer first", "reader first"} {
			t.Run(tt.name+"/"+order, func(t *testing.T) {
				conn := newScriptedConn(tt.response, tt.endErr, tt.writeErr)
				if order == "reader first" {
					go func() {
						<-conn.ended
						conn.finishWrite()
					}()
				}
				_, response := sendLong(t, conn, time.Minute)
				if order == "writer first" {
					conn.finishWrite()
					<-conn.wrote
				}
				body, err := io.ReadAll(response.Body)
				assert.Equal(t, err == nil, tt.complete, "%v", err)
				assert.Equal(t, string(body) == "all.", tt.complete, "%q", body)
			})
		}
	}
}

// TestEndWithoutRequest guards against waiting longer than the response may take for the end of a request whose endpoint has ended the connection but does not
// read on, in Drain too.
func TestEndWithoutRequest(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\n\r\nall."
	tests := []struct {
		name    string
		timeout time.Duration
		read    func(x *Exchange, response *Response) error
	}{
		{"read", 50 * time.Millisecond, func(_ *Exchange, response *Response) error {
			_, err := io.ReadAll(response.Body)
			return err
		}},
		{"drain", time.Minute, func(x *Exchange, response *Response) error {
			if x.Drain(response) {
				return nil
			}
			return os.ErrDeadlineExceeded
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x, response := sendLong(t, newScriptedConn(response, io.EOF, nil), tt.timeout)
			began := time.Now()
			err := tt.read(x, response)
			assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
			assert.Assert(t, time.Since(began) < 10*time.Second, "%v", time.Since(began))
		})
	}
}
