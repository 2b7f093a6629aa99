// Package streamer is the client for model engines. It streams completions and classifies every failure of a stream.
package streamer

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
	"strconv"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/web/checker"
)

// Default values of Options. DefaultChunkGap is four heartbeat intervals of 500 ms: after three lost heartbeats, the next is due when the
// gap ends, so there is no margin.
const (
	DefaultChunkGap       = 2 * time.Second
	DefaultDialTimeout    = time.Second
	DefaultControlTimeout = 2 * time.Second
)

// Options configure a Client. Zero fields take the defaults.
type Options struct {
	// ChunkGap is the maximum time without a byte from the engine; heartbeats count as bytes. A stream then fails with Silent.
	ChunkGap time.Duration
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// ControlTimeout bounds Cancel, Requests and Load.
	ControlTimeout time.Duration
}

// Client sends requests to engines. It is safe for concurrent use.
type Client struct {
	options Options
	// streams opens a new connection for each stream. A pooled connection may be unresponsive, which would be detected only after
	// ChunkGap; a new one costs one round trip.
	streams checker.Transport
	// control is the HTTP client for Cancel, Requests and Load. It reuses connections.
	control *http.Client
}

// New returns a client and a function that closes its idle connections. It fails if an option is negative.
func New(options Options) (*Client, func(), error) {
	for _, d := range []time.Duration{options.ChunkGap, options.DialTimeout, options.ControlTimeout} {
		if d < 0 {
			return nil, nil, fmt.Errorf("streamer: negative duration %v", d)
		}
	}
	setDefault(&options.ChunkGap, DefaultChunkGap)
	setDefault(&options.DialTimeout, DefaultDialTimeout)
	setDefault(&options.ControlTimeout, DefaultControlTimeout)
	d := &dialer{Dialer: net.Dialer{Timeout: options.DialTimeout}, gap: options.ChunkGap}
	c := &Client{
		options: options,
		streams: checker.NewTransport(&http.Transport{DialContext: d.dial, DisableKeepAlives: true, DisableCompression: true}),
		control: newControl(options, &d.Dialer),
	}
	return c, c.control.CloseIdleConnections, nil
}

// setDefault sets a field to value if it is zero.
func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Prompt holds the parameters of a completion request.
type Prompt struct {
	Model string
	// Text is the prompt. To continue an interrupted completion, it is the original prompt followed by the text delivered so far.
	Text string
	// MaxTokens is at least 1.
	MaxTokens modeler.Tokens
	// Node identifies the node that sends the request.
	Node modeler.NodeID
}

type completionBody struct {
	Model         string        `json:"model"`
	Prompt        string        `json:"prompt"`
	MaxTokens     int64         `json:"max_tokens"`
	Priority      int           `json:"priority"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Open sends a prompt and returns when the response header has arrived, which an engine sends before it processes the prompt. The stream
// ends when ctx ends or at the deadline of the grant. Errors are of type *Error.
func (c *Client) Open(ctx context.Context, grant modeler.Grant, prompt Prompt) (*Stream, error) {
	ctx, cancel := context.WithDeadline(ctx, grant.Deadline)
	s := &Stream{ctx: ctx, cancel: cancel, address: grant.Address, attempt: grant.Attempt}
	request, err := newRequest(s.traceContext(), grant, prompt)
	if err != nil {
		cancel()
		return nil, &Error{Failure: NotConnected, Address: grant.Address, Err: err}
	}
	response, err := c.streams.RoundTrip(request)
	if err != nil {
		err = s.transportError(err)
		cancel()
		return nil, err
	}
	if err := s.readHeader(response); err != nil {
		_ = response.Body.Close()
		cancel()
		return nil, err
	}
	return s, nil
}

func newRequest(ctx context.Context, grant modeler.Grant, prompt Prompt) (*http.Request, error) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(completionBody{
		Model: prompt.Model, Prompt: prompt.Text, MaxTokens: int64(prompt.MaxTokens), Priority: grant.Priority, Stream: true,
		StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+grant.Address+"/v1/completions", &body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // without GetBody the transport cannot send the request twice
	left := max(time.Until(grant.Deadline).Milliseconds(), 1)
	h := request.Header
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set("X-Request-Id", string(grant.Attempt))
	h.Set("X-Node-Id", string(prompt.Node))
	h.Set("X-Fencing-Token", strconv.FormatUint(uint64(grant.Term), 10))
	h.Set("X-Request-Timeout", strconv.FormatInt(left, 10))
	return request, nil
}

// traceContext returns the context of the stream with a hook that records the connection.
func (s *Stream) traceContext() context.Context {
	return httptrace.WithClientTrace(s.ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if checked, ok := info.Conn.(*checker.Conn); ok {
				s.conn, _ = checked.Conn.(*connection)
			}
		},
	})
}

// maxRefusalBytes limits how much of a refusal's body is read.
const maxRefusalBytes = 4 << 10

// readHeader checks the response header and sets the fields that Next needs.
func (s *Stream) readHeader(response *http.Response) error {
	if response.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return &Error{
			Failure: Refused, Address: s.address, Status: response.StatusCode,
			RetryAfter: time.Duration(seconds) * time.Second, Err: errors.New(string(bytes.TrimSpace(message))),
		}
	}
	if id := response.Header.Get("X-Request-Id"); id != string(s.attempt) {
		return s.fail(Mismatched, fmt.Errorf("response header of attempt %q", id))
	}
	s.BootID = response.Header.Get("X-Boot-Id")
	s.Cold = response.Header.Get("X-Phase") != "warm"
	s.body = response.Body
	s.lines = newLineReader(response.Body)
	return nil
}
