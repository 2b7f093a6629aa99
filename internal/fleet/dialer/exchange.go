package dialer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// maxInlineBody is the size in bytes of the largest body that is written before the response is read. Larger bodies are written while the
	// response is read, because an endpoint may respond before it has read them.
	maxInlineBody = 8 << 10
	// headSize is the space in bytes that is reserved for a request's header. Longer headers grow the buffer.
	headSize = 1 << 10
	// maxForeignResponses is the number of responses to earlier requests that are skipped on one connection.
	maxForeignResponses = 2
	// maxForeignBytes bounds the bytes that are read of the body of such a response.
	maxForeignBytes = 1 << 20
	// maxHeaderBytes bounds the header of a response, and maxInterimResponses the interim responses before it. A faulty endpoint may send bytes
	// without end.
	maxHeaderBytes      = 64 << 10
	maxInterimResponses = 16
	// maxDrainedBytes and drainTimeout bound the reading of a response that nobody needs.
	maxDrainedBytes = 64 << 10
	drainTimeout    = 100 * time.Millisecond
)

// Outgoing is a request to an endpoint.
type Outgoing struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// MaxIdle bounds the idle connections that are kept to the endpoint. Zero means the bound of the pool.
	MaxIdle int
	// Avoided holds the connections on which the request was sent before. An endpoint may send a response twice: the late copy of a response to the
	// earlier send has the same id as the response to this one.
	Avoided []ConnID
}

// Exchange is a request that was sent on a connection, and its response. Close must be called once.
type Exchange struct {
	pool     *Pool
	conn     *Conn
	maxIdle  int
	response *http.Response
	// readBy is the read deadline of the connection.
	readBy  time.Time
	writing *writing
	// stopWatching ends the closing of the connection by the context of Send. It reports whether the context had not ended.
	stopWatching func() bool
}

// writing is the writing of a request, which may go on while the response is read.
type writing struct {
	// done is closed when the request was written completely or that has failed.
	done chan struct{}
	// err is the result, and must be read only after done was closed.
	err error
}

func newWriting() *writing { return &writing{done: make(chan struct{})} }

func (w *writing) end(err error) {
	w.err = err
	close(w.done)
}

// errHeaderTooLong is returned when the header of a response does not end within maxHeaderBytes.
var errHeaderTooLong = errors.New("response header is too long")

// ErrForeignResponse is returned when only responses to other requests were received on the connection.
var ErrForeignResponse = errors.New("received only responses to other requests")

// ErrRequestUnwritten is returned instead of io.EOF at the end of the connection if it would be the end of the response too, but writing the request has
// failed. The failure may be why the connection has ended.
var ErrRequestUnwritten = errors.New("connection ended before the request was written")

// SendError is a failure to send a request.
type SendError struct {
	// Sent is set if the endpoint may have received the request.
	Sent  bool
	cause error
}

// Error implements error.
func (e SendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e SendError) Unwrap() error { return e.cause }

// Send sends a request once, on an idle connection or a new one. Its errors are of type SendError. Bodies of more than maxInlineBody bytes
// are written in the background, and errors in writing them are not returned. When ctx ends, the connection is closed, which tells the
// endpoint that the response is no longer wanted.
func (p *Pool) Send(ctx context.Context, address string, request Outgoing) (*Exchange, error) {
	conn, err := p.Get(ctx, address, request.Avoided)
	if err != nil {
		return nil, SendError{cause: fmt.Errorf("connect: %w", err)}
	}
	x := &Exchange{pool: p, conn: conn, maxIdle: request.MaxIdle, writing: newWriting()}
	x.stopWatching = context.AfterFunc(ctx, conn.discard)
	head := request.head()
	if len(request.Body) <= maxInlineBody {
		_, err = conn.Write(append(head, request.Body...))
		x.writing.end(err)
		if err != nil {
			x.closeConn()
			return nil, SendError{Sent: true, cause: fmt.Errorf("write request: %w", err)}
		}
		return x, nil
	}
	go func() {
		// Copying a long body behind the header would delay the header: 64 MB took over a second on a busy machine.
		buffers := net.Buffers{head, request.Body}
		_, err := buffers.WriteTo(conn.Conn)
		x.writing.end(err)
	}()
	return x, nil
}

func (r Outgoing) head() []byte {
	var b bytes.Buffer
	// The space for a short body lets Send append it without copying the header.
	b.Grow(headSize + min(len(r.Body), maxInlineBody))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// ConnID returns the id of the connection.
func (x *Exchange) ConnID() ConnID { return x.conn.id }

// Reused reports whether the connection carried an earlier request.
func (x *Exchange) Reused() bool { return x.conn.Reused }

// Response is an endpoint's response. Its body is read from the connection, which Exchange.Close closes or returns to the pool.
type Response struct {
	StatusCode int
	Header     http.Header
	Body       io.Reader
	// Length is the length of the body in bytes, or -1 if it is not stated.
	Length int64
	// Unframed is set if the body has neither a length nor chunks. Its end is then the end of the connection, but only if the request was written
	// completely: reading it returns ErrRequestUnwritten otherwise.
	Unframed bool
}

// ReadResponse reads the header of the response. The header and the body must be read within timeout. own reports by the header whether a
// response belongs to this request. Up to maxForeignResponses others are skipped; after one more, ErrForeignResponse is returned. A checker.HeadError is
// returned for a response whose head is invalid.
func (x *Exchange) ReadResponse(method string, timeout time.Duration, own func(http.Header) bool) (*Response, error) {
	if err := x.setReadDeadline(timeout); err != nil {
		return nil, err
	}
	defer x.conn.source.unlimit()
	for foreign, interim := 0, 0; ; {
		if err := x.conn.beginHead(); err != nil {
			return nil, err
		}
		// Closing the body would wait for the rest of a stream. Exchange.Close closes the connection instead.
		response, err := http.ReadResponse(x.conn.Reader, &http.Request{Method: method}) //nolint:bodyclose // See above.
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimResponses {
				return nil, errHeaderTooLong
			}
			continue
		}
		if own(response.Header) {
			x.response = response
			r := &Response{
				StatusCode: response.StatusCode, Header: response.Header, Body: response.Body, Length: response.ContentLength,
				Unframed: isUnframed(response),
			}
			if r.Unframed {
				r.Body = unframedBody{Reader: response.Body, exchange: x}
			}
			return r, nil
		}
		if foreign++; foreign > maxForeignResponses {
			return nil, ErrForeignResponse
		}
		x.conn.source.limit(maxForeignBytes)
		if n, err := io.Copy(io.Discard, response.Body); err != nil || n >= maxForeignBytes {
			return nil, ErrForeignResponse
		}
	}
}

func (x *Exchange) setReadDeadline(timeout time.Duration) error {
	x.readBy = time.Now().Add(timeout)
	return x.conn.SetReadDeadline(x.readBy)
}

// unframedBody is a body whose end is the end of the connection.
type unframedBody struct {
	io.Reader
	exchange *Exchange
}

// Read implements io.Reader. A reset of the connection is reported once by the kernel, to a read or to a write. If the write of the request gets it, the read
// gets io.EOF, which is then not the end of the body.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.exchange.awaitWritten()
	}
	return n, err
}

// awaitWritten waits until the request was written and returns io.EOF then, or an error if that fails or the read deadline passes before.
func (x *Exchange) awaitWritten() error {
	timer := time.NewTimer(time.Until(x.readBy))
	defer timer.Stop()
	select {
	case <-x.writing.done:
		if err := x.writing.err; err != nil {
			return fmt.Errorf("%w: %w", ErrRequestUnwritten, err)
		}
		return io.EOF
	case <-timer.C:
		return fmt.Errorf("wait for the end of the request: %w", os.ErrDeadlineExceeded)
	}
}

// Drain reads a response that nobody needs to its end, so that the connection can be reused. It reports whether the end was reached within
// maxDrainedBytes and drainTimeout; a longer response is not worth the connection.
func (x *Exchange) Drain(response *Response) bool {
	if err := x.setReadDeadline(drainTimeout); err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainedBytes))
	return err == nil && n < maxDrainedBytes
}

// Abort closes the connection at once. It may be called while another goroutine reads the response; the read then fails.
func (x *Exchange) Abort() { x.conn.discard() }

// Close ends the exchange. It returns the connection to the pool if all of the following hold, and closes it otherwise:
//   - complete is set: the response was read to its end.
//   - The response has no "Connection: close", and its end is not marked by the end of the connection.
//   - The request was written completely.
//   - The context of Send has not ended.
func (x *Exchange) Close(complete bool) {
	if !complete || x.response == nil || x.response.Close || isUnframed(x.response) {
		x.closeConn()
		return
	}
	select {
	case <-x.writing.done:
		if x.writing.err == nil && x.stopWatching() {
			x.pool.Put(x.conn, keepAliveTimeout(x.response.Header), x.maxIdle)
			return
		}
	default:
		// The endpoint responded before it had read the body.
	}
	x.closeConn()
}

// closeConn stops watching the context and closes the connection.
func (x *Exchange) closeConn() {
	x.stopWatching()
	x.conn.discard()
}

// isUnframed reports whether the end of a response is marked only by the end of the connection.
func isUnframed(response *http.Response) bool {
	chunked := len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
	return response.ContentLength < 0 && !chunked
}

// keepAliveTimeout returns the timeout in the Keep-Alive header, or zero if there is none.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}
