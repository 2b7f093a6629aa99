package dialer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// inlineBody is the largest body that is written before the answer is read. Larger ones are written beside the reading, because an
	// endpoint may answer before it has read them.
	inlineBody = 8 << 10
	// maxForeign is the number of answers to earlier requests that are passed over on one connection.
	maxForeign = 2
	// drainLimit bounds the bytes of such an answer.
	drainLimit = 1 << 20
)

// Outgoing is a request to an endpoint.
type Outgoing struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// MostIdle bounds the idle connections that are kept to the endpoint; zero means the bound of the pool.
	MostIdle int
}

// Exchange is a request that was sent on a connection. Close must be called once.
type Exchange struct {
	pool     *Pool
	conn     *Conn
	mostIdle int
	response *http.Response
	// written delivers the end of the writing of the body.
	written chan error
	// stopWatch ends the watch over the caller.
	stopWatch func() bool
}

// ErrForeign says that the connection delivered answers to other requests only.
var ErrForeign = errors.New("answers belong to other requests")

// SendError is a failure to send a request.
type SendError struct {
	// Sent is set if the endpoint may have got the request.
	Sent  bool
	cause error
}

// Error implements error.
func (e SendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e SendError) Unwrap() error { return e.cause }

// Send sends a request once, on an idle connection or a new one. When ctx ends, the connection is closed, which tells the endpoint that
// nobody waits for the answer.
func (p *Pool) Send(ctx context.Context, address string, request Outgoing) (*Exchange, error) {
	conn, err := p.Get(ctx, address)
	if err != nil {
		return nil, SendError{cause: fmt.Errorf("connect: %w", err)}
	}
	x := &Exchange{pool: p, conn: conn, mostIdle: request.MostIdle, written: make(chan error, 1)}
	x.stopWatch = context.AfterFunc(ctx, conn.discard)
	head := request.head()
	if len(request.Body) <= inlineBody {
		_, err = conn.Write(append(head, request.Body...))
		x.written <- err
		if err != nil {
			x.abort()
			return nil, SendError{Sent: true, cause: fmt.Errorf("write request: %w", err)}
		}
		return x, nil
	}
	go func() {
		_, err := conn.Write(append(head, request.Body...))
		x.written <- err
	}()
	return x, nil
}

func (r Outgoing) head() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// A bytes.Buffer takes all writes.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Answer is the header of an endpoint's answer. Its body is read from the connection, which the Exchange closes.
type Answer struct {
	StatusCode int
	Header     http.Header
	Body       io.Reader
}

// Answer reads the header of the answer within timeout. own tells by the header whether an answer belongs to this request; others are
// passed over.
func (x *Exchange) Answer(method string, timeout time.Duration, own func(http.Header) bool) (*Answer, error) {
	if err := x.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	for foreign := 0; ; {
		// Closing the body would wait for the rest of a stream; Close ends the connection instead.
		response, err := http.ReadResponse(x.conn.Reader, &http.Request{Method: method}) //nolint:bodyclose // See above.
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if own(response.Header) {
			x.response = response
			return &Answer{StatusCode: response.StatusCode, Header: response.Header, Body: response.Body}, nil
		}
		if foreign++; foreign > maxForeign {
			return nil, ErrForeign
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, drainLimit)); err != nil {
			return nil, ErrForeign
		}
	}
}

// Abort ends the connection at once. It may be called beside the reading, which then fails.
func (x *Exchange) Abort() { x.conn.discard() }

// Close ends the exchange. The connection is kept only if the whole answer was read and nothing was odd about it.
func (x *Exchange) Close(complete bool) {
	if !complete || x.response == nil || x.response.Close || x.response.ContentLength < 0 && !chunked(x.response) {
		x.abort()
		return
	}
	select {
	case err := <-x.written:
		if err == nil && x.stopWatch() {
			x.pool.Put(x.conn, keepAlive(x.response.Header), x.mostIdle)
			return
		}
	default:
		// The endpoint answered before it had read the body.
	}
	x.abort()
}

func (x *Exchange) abort() {
	x.stopWatch()
	x.conn.discard()
}

func chunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// keepAlive returns the idle time that an endpoint states, or zero.
func keepAlive(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}
