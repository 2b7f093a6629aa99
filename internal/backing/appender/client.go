// Package appender is the client of the platform's append-only log.
package appender

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

const (
	// AppendTimeout bounds one append. The log may still append the record after the timeout.
	AppendTimeout = 2 * time.Second
	// ReadGrace is the time that a read may take beyond its wait.
	ReadGrace = 2 * time.Second
	// maxPageBytes bounds the size of one response, so that large records cannot exhaust memory. Several rule files of 1 MiB fit
	// after JSON escaping and base64. A reader whose page is larger requests fewer records.
	maxPageBytes = 32 << 20
	// idleTimeout is shorter than the idle timeouts of common servers, so that fewer appends fail on a connection that the
	// server has closed.
	idleTimeout = 30 * time.Second
)

// ErrLogReset is the error of a read whose offset is beyond the end of the log. The log has lost records, so no record
// that was read before can be relied on.
var ErrLogReset = errors.New("the log ends before the offset asked for")

// Options configure a client.
type Options struct {
	// BaseURL is the root of the log service, such as "http://10.0.0.1:9000".
	BaseURL string
	// NodeID is sent with each request in the header X-Node-Id.
	NodeID modeler.NodeID
	// Dial opens the connections of the default client, for example to count bytes. It may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Client is optional and replaces Dial. Its own Timeout must be zero or exceed the maximum wait of a read.
	Client *http.Client
}

// Client appends to and reads from the log. It is safe for concurrent use.
type Client struct {
	base   *url.URL
	node   modeler.NodeID
	client *http.Client
}

// New returns a client and a cleanup function that closes idle connections.
func New(options Options) (*Client, func(), error) {
	base, err := url.Parse(options.BaseURL)
	if err != nil {
		return nil, nil, fmt.Errorf("log URL: %w", err)
	}
	if base.Scheme == "" || base.Host == "" {
		return nil, nil, fmt.Errorf("log URL %q: scheme or host is missing", options.BaseURL)
	}
	client := options.Client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{DialContext: options.Dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: idleTimeout}}
	}
	return &Client{base: base, node: options.NodeID, client: client}, client.CloseIdleConnections, nil
}

// Append appends a record of control/modeler and returns its offset. An error is always an *AppendError.
func (c *Client) Append(ctx context.Context, stream modeler.Stream, record any) (int64, error) {
	data, err := encode(record)
	if err != nil {
		return 0, &AppendError{Stream: stream, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	// Without a connection no byte of the record has reached the log, so the record was not appended.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := c.request(ctx, http.MethodPost, stream, nil, data)
	if err != nil {
		return 0, &AppendError{Stream: stream, Err: err}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, &AppendError{Stream: stream, MaybeAppended: connected.Load(), Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, &AppendError{Stream: stream, MaybeAppended: !rejectsAppend(response.StatusCode), Err: statusError(response)}
	}
	var body struct{ Offset int64 }
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return 0, &AppendError{Stream: stream, MaybeAppended: true, Err: err}
	}
	return body.Offset, nil
}

// rejectsAppend reports whether the log returns this status only if it has not appended the record: for an invalid request, an
// exceeded append rate or an outage. Other server errors may come from an intermediary after the record was appended.
func rejectsAppend(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout || status == http.StatusServiceUnavailable
}

// Page is the result of a read.
type Page struct {
	// First is the oldest retained offset, and Next is the offset of the next record to be appended.
	First, Next int64
	// Records are in the order of their offsets.
	Records []modeler.Record
}

// Read reads at most limit records from an offset on. Offsets start at 1. If there is no record to return, the log holds the
// request for up to wait.
func (c *Client) Read(ctx context.Context, stream modeler.Stream, from int64, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+ReadGrace)
	defer cancel()
	query := url.Values{
		"from":  {strconv.FormatInt(from, 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	request, err := c.request(ctx, http.MethodGet, stream, query, nil)
	if err != nil {
		return Page{}, fmt.Errorf("read %s: %w", stream, err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Page{}, fmt.Errorf("read %s: %w", stream, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Page{}, fmt.Errorf("read %s: %w", stream, statusError(response))
	}
	var wire pageWire
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPageBytes)).Decode(&wire); err != nil {
		return Page{}, fmt.Errorf("read %s: %w", stream, err)
	}
	if wire.Next < from {
		return Page{}, fmt.Errorf("read %s from %d, next is %d: %w", stream, from, wire.Next, ErrLogReset)
	}
	if len(wire.Records) == 0 && wire.First <= from && from < wire.Next {
		return Page{}, fmt.Errorf("read %s from %d: the answer has no records, but next is %d", stream, from, wire.Next)
	}
	return wire.page(), nil
}

func (c *Client) request(ctx context.Context, method string, stream modeler.Stream, query url.Values, data []byte) (*http.Request, error) {
	target := c.base.JoinPath("streams", string(stream), "records")
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Node-Id", string(c.node))
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// statusError returns an error with the status and the first 200 bytes of the body.
func statusError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, 200))
	return fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(text))
}
