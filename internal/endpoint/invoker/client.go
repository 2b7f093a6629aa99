// Package invoker is the client for plain services. It sends each call at most once and reports reliably whether any byte of it was sent.
package invoker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/web/checker"
)

// Default values of Options.
const (
	DefaultDialTimeout   = time.Second
	DefaultResponseBytes = 8 << 20
)

// Options configure a Client. Zero fields take the defaults.
type Options struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// ResponseBytes is the maximum size of a response body in bytes.
	ResponseBytes int64
}

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	options Options
	// unpooled opens a new connection for each call; pooled reuses connections and is used for idempotent calls.
	unpooled, pooled checker.Transport
}

// New returns a client and a function that closes its idle connections. It fails if an option is negative.
func New(options Options) (*Client, func(), error) {
	if options.DialTimeout < 0 || options.ResponseBytes < 0 {
		return nil, nil, errors.New("invoker: negative option")
	}
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.ResponseBytes == 0 {
		options.ResponseBytes = DefaultResponseBytes
	}
	d := &dialer{net.Dialer{Timeout: options.DialTimeout}}
	c := &Client{
		options:  options,
		unpooled: checker.NewTransport(&http.Transport{DialContext: d.dial, DisableCompression: true, DisableKeepAlives: true}),
		pooled:   checker.NewTransport(&http.Transport{DialContext: d.dial, DisableCompression: true, IdleConnTimeout: 30 * time.Second}),
	}
	return c, c.pooled.CloseIdleConnections, nil
}

// Request is a call to a service.
type Request struct {
	Method string
	// Path is unescaped and starts with a slash; the client escapes it. Query is escaped and has no question mark.
	Path, Query string
	// Header is sent without the fields that apply to one connection only.
	Header http.Header
	Body   []byte
	// Idempotent allows the call to use a pooled connection. The client sends idempotent calls only once, too.
	Idempotent bool
	// Node identifies the node that sends the call.
	Node modeler.NodeID
}

// Response is the response of a service. Redirects are not followed but returned.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// BootID identifies the start of the service's process that responded.
	BootID string
	// Cold is set if the service states that it is in cold start.
	Cold bool
}

// Ran is true if a call may have run. It is false only if no byte of the request was sent.
type Ran bool

// Call sends a request once. A response with any status is not an error. Errors are of type *Error; the Ran result
// is also valid if there is an error.
func (c *Client) Call(ctx context.Context, grant modeler.Grant, call Request) (Response, Ran, error) {
	ctx, cancel := context.WithDeadline(ctx, grant.Deadline)
	defer cancel()
	use := connectionUse{bodySize: len(call.Body)}
	request, err := newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: use.gotConn}), grant, call)
	if err != nil {
		return Response{}, false, &Error{Failure: Invalid, Address: grant.Address, Err: err}
	}
	transport := c.unpooled
	if call.Idempotent {
		transport = c.pooled
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		ran := use.seal()
		return Response{}, ran, &Error{Failure: failureOf(ctx, use, err), Address: grant.Address, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := c.read(ctx, grant, response, use)
	return answer, true, err
}

// connectionUse records which connection a call uses. conn is nil until the call has one.
type connectionUse struct {
	conn *connection
	// bodySize is the size in bytes of the body of the call.
	bodySize int
	// writtenBefore is the number of bytes that earlier calls wrote to conn.
	writtenBefore int64
}

// gotConn is the GotConn hook of the call.
func (u *connectionUse) gotConn(info httptrace.GotConnInfo) {
	checked, ok := info.Conn.(*checker.Conn)
	if !ok {
		return
	}
	if conn, ok := checked.Conn.(*connection); ok {
		u.conn, u.writtenBefore = conn, conn.bytesWritten()
		conn.begin(u.bodySize)
	}
}

// seal prevents further writes to the connection and reports whether a byte of the call may have been written.
func (u *connectionUse) seal() Ran { return u.conn != nil && Ran(u.conn.seal(u.writtenBefore)) }

// failureOf classifies an error of the transport.
func failureOf(ctx context.Context, use connectionUse, err error) Failure {
	var headErr checker.HeadError
	switch {
	case ctx.Err() != nil:
		return Abandoned
	case errors.As(err, &headErr):
		return Malformed
	case use.conn == nil:
		return NotConnected
	default:
		return Died
	}
}

// unreplayableBody is a request body that the transport cannot send twice: it never replays a request that has a body, even an empty one,
// but no GetBody. A call without a body on a new connection does not need this type, because the transport replays requests only on reused
// connections.
type unreplayableBody struct{ *bytes.Reader }

func (unreplayableBody) Close() error { return nil }

func newRequest(ctx context.Context, grant modeler.Grant, call Request) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, fmt.Errorf("path %q does not start with a slash", call.Path)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+grant.Address, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.URL.Path, request.URL.RawQuery = call.Path, call.Query
	if len(call.Body) > 0 || call.Idempotent {
		request.Body, request.GetBody = unreplayableBody{bytes.NewReader(call.Body)}, nil
		request.ContentLength = int64(len(call.Body))
	}
	request.Header = withoutHopByHop(call.Header)
	left := max(time.Until(grant.Deadline).Milliseconds(), 1)
	h := request.Header
	h.Set("X-Request-Id", string(grant.Attempt))
	h.Set("X-Node-Id", string(call.Node))
	h.Set("X-Fencing-Token", strconv.FormatUint(uint64(grant.Term), 10))
	h.Set("X-Request-Timeout", strconv.FormatInt(left, 10))
	return request, nil
}

// errRequestUnwritten is the cause of a failure at the end of the connection that would be the end of the response too, if the request was not written
// completely. That may be why the connection has ended.
var errRequestUnwritten = errors.New("connection ended before the request was written")

// isUnframed reports whether the end of a response is marked only by the end of the connection. That of a response without a body, such as one to a HEAD
// request, is not.
func isUnframed(response *http.Response) bool {
	return response.Close && response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked")
}

// read checks the response header and reads the body.
func (c *Client) read(ctx context.Context, grant modeler.Grant, response *http.Response, use connectionUse) (Response, error) {
	fail := func(failure Failure, err error) (Response, error) {
		return Response{}, &Error{Failure: failure, Address: grant.Address, Err: err}
	}
	if id := response.Header.Get("X-Request-Id"); id != string(grant.Attempt) {
		return fail(Mismatched, fmt.Errorf("response of attempt %q", id))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.options.ResponseBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return fail(Abandoned, context.Cause(ctx))
	case err != nil:
		return fail(Died, err)
	case int64(len(body)) > c.options.ResponseBytes:
		return fail(TooLarge, fmt.Errorf("body exceeds %d bytes", c.options.ResponseBytes))
	case isUnframed(response) && !use.conn.endRequest():
		return fail(Died, errRequestUnwritten)
	}
	return Response{
		Status: response.StatusCode, Header: withoutHopByHop(response.Header), Body: body,
		BootID: response.Header.Get("X-Boot-Id"), Cold: response.Header.Get("X-Phase") == "cold",
	}, nil
}
