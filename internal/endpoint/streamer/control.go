package streamer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/web/checker"
)

// newControl returns the HTTP client for Cancel, Requests and Load. It reuses connections.
func newControl(options Options, dialer *net.Dialer) *http.Client {
	return &http.Client{
		Timeout: options.ControlTimeout,
		Transport: checker.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: 30 * time.Second,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Cancel ends an attempt on an engine. It also returns nil if the engine does not know the attempt or has already ended it. Errors are of
// type *Error.
func (c *Client) Cancel(ctx context.Context, address string, attempt modeler.AttemptID, term modeler.Term) error {
	status, err := c.exchange(ctx, http.MethodDelete, address, "/requests/"+url.PathEscape(string(attempt)), term, nil)
	if status == http.StatusNotFound {
		return nil
	}
	return err
}

// Running lists the attempts that an engine reports as running.
type Running struct {
	BootID   string
	Attempts []modeler.RunningAttempt
}

type requestsBody struct {
	BootID   string
	Requests []struct {
		Attempt modeler.AttemptID
		Node    modeler.NodeID
		Tokens  modeler.Tokens
	}
}

// Requests returns the attempts that an engine is running. Errors are of type *Error.
func (c *Client) Requests(ctx context.Context, address string) (Running, error) {
	var body requestsBody
	if _, err := c.exchange(ctx, http.MethodGet, address, "/requests", 0, &body); err != nil {
		return Running{}, err
	}
	running := Running{BootID: body.BootID, Attempts: make([]modeler.RunningAttempt, len(body.Requests))}
	for i, r := range body.Requests {
		running.Attempts[i] = modeler.RunningAttempt{Attempt: r.Attempt, Node: r.Node, Tokens: r.Tokens}
	}
	return running, nil
}

// Load is the load that an engine reports about itself. The report lags behind the actual load.
type Load struct {
	BootID        string
	Cold          bool
	Capacity      modeler.Tokens
	Used          modeler.Tokens
	QueuedPrefill modeler.Tokens
	Running       int
	// TakenAt is the time of the reported state by the engine's clock.
	TakenAt time.Time
}

type loadBody struct {
	BootID        string
	Phase         string
	Capacity      modeler.Tokens
	Used          modeler.Tokens
	QueuedPrefill modeler.Tokens
	Running       int
	TakenAt       time.Time
}

// Load returns the load report of an engine. Errors are of type *Error.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var body loadBody
	if _, err := c.exchange(ctx, http.MethodGet, address, "/load", 0, &body); err != nil {
		return Load{}, err
	}
	return Load{
		BootID: body.BootID, Cold: body.Phase != "warm", Capacity: body.Capacity, Used: body.Used,
		QueuedPrefill: body.QueuedPrefill, Running: body.Running, TakenAt: body.TakenAt,
	}, nil
}

// maxControlResponseBytes bounds the response to a control request.
const maxControlResponseBytes = 4 << 20

// exchange sends a control request and decodes the response into body unless body is nil. It returns the status, or 0 without a response.
// A status other than 2xx is an error. Errors are of type *Error.
func (c *Client) exchange(ctx context.Context, method, address, path string, term modeler.Term, body any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0, &Error{Failure: NotConnected, Address: address, Err: err}
	}
	if term != 0 {
		request.Header.Set("X-Fencing-Token", strconv.FormatUint(uint64(term), 10))
	}
	response, err := c.control.Do(request)
	if err != nil {
		// Other pooled connections may be unresponsive for the same reason.
		c.control.CloseIdleConnections()
		return 0, &Error{Failure: controlFailure(ctx, err), Address: address, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content := io.LimitReader(response.Body, maxControlResponseBytes)
	if response.StatusCode/100 != 2 {
		_, _ = io.Copy(io.Discard, content)
		return response.StatusCode, &Error{
			Failure: Refused, Address: address, Status: response.StatusCode, Err: errors.New(response.Status),
		}
	}
	if body == nil {
		return response.StatusCode, nil
	}
	if err := json.NewDecoder(content).Decode(body); err != nil {
		return response.StatusCode, &Error{Failure: CutShort, Address: address, Err: fmt.Errorf("decode response: %w", err)}
	}
	return response.StatusCode, nil
}

// controlFailure classifies a transport error of a control request.
func controlFailure(ctx context.Context, err error) Failure {
	var operation *net.OpError
	var timeout net.Error
	var headErr checker.HeadError
	switch {
	case ctx.Err() != nil:
		return Abandoned
	case errors.As(err, &headErr):
		return CutShort
	case errors.As(err, &operation) && operation.Op == "dial":
		return NotConnected
	case errors.As(err, &timeout) && timeout.Timeout():
		return Silent
	default:
		return Died
	}
}
