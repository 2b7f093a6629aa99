// Package charger charges the connections and requests of an http.Server to an account before it holds memory for them, and ends those connections that
// the account asks to give way.
package charger

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"damaskpick.example/damaskpick/internal/web/accountant"
)

// Errors of ReadBody. In each case the request has not run.
var (
	// ErrTooLarge means that the body exceeds the limit.
	ErrTooLarge = errors.New("body is too large")
	// ErrLate means that the body had not arrived in time.
	ErrLate = errors.New("body was not received in time")
	// ErrGaveWay means that the memory of the body was needed for others, or that there was none for it.
	ErrGaveWay = errors.New("memory for bodies is short")
)

const (
	// firstBody is the space for a body in bytes with which reading it begins. It doubles as the body arrives, so that a body that is announced but
	// not sent takes no memory.
	firstBody = 4 << 10
)

// Charger connects an http.Server to an account. The server must use Track as its ConnState and ConnContext callbacks and Handler. It is safe for concurrent use.
type Charger struct {
	account *accountant.Account
	// headBytes is charged while the header of a request is read.
	headBytes int64

	mu    sync.Mutex
	conns map[net.Conn]*connection
}

// connection is the account of a connection.
type connection struct {
	hold *accountant.Hold
	// end ends the connection while it is not being served, and close closes its account.
	end, close func()
}

// New returns a Charger for servers whose headers have at most headBytes.
func New(account *accountant.Account, headBytes int64) *Charger {
	return &Charger{account: account, headBytes: headBytes, conns: map[net.Conn]*connection{}}
}

// connKey is the key of the hold in the context of a request.
type connKey struct{}

// ConnContext opens the account of a new connection. It is the ConnContext callback of the http.Server, and closes the connection if there is no room.
func (c *Charger) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	end := func() { _ = conn.Close() }
	hold, closeHold, err := c.account.Open(addressOf(conn), end)
	if err != nil {
		_ = conn.Close()
		return ctx
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = &connection{hold: hold, end: end, close: closeHold}
	return context.WithValue(ctx, connKey{}, hold)
}

func addressOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// Track records the state of a connection. It is the ConnState callback of the http.Server.
func (c *Charger) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	open := c.conns[conn]
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
	}
	c.mu.Unlock()
	if open == nil {
		return
	}
	switch state {
	case http.StateActive:
		if err := open.hold.Enter(context.Background(), accountant.Reading, c.headBytes, open.end); err != nil {
			_ = conn.Close()
		}
	case http.StateIdle:
		// A smaller charge never fails.
		_ = open.hold.Enter(context.Background(), accountant.Silent, 0, open.end)
	case http.StateClosed, http.StateHijacked:
		open.close()
	case http.StateNew:
	}
}

// Request is the account of a request. It must not be used after the request's handler has returned.
type Request struct {
	hold *accountant.Hold
	// held is the number of bytes that are held for the request itself, without its answer, and charged the number that is charged for both.
	held, charged int64
}

// answerBytes is charged with each request for the begin of its answer, so that short answers need no charge of their own.
const answerBytes = 4 << 10

// NewRequest returns the account of a request that is being handled, whose header has headBytes. What was charged while the header was read is kept for
// its body. The clean-up function must be called at its end. It returns large charges; small ones return when the connection is idle or closed.
func (c *Charger) NewRequest(r *http.Request, headBytes int64) (*Request, func(), error) {
	hold, ok := r.Context().Value(connKey{}).(*accountant.Hold)
	closeHold := func() {}
	if !ok {
		var err error
		if hold, closeHold, err = c.account.Open(r.RemoteAddr, func() {}); err != nil {
			return nil, nil, ErrGaveWay
		}
	}
	request := &Request{hold: hold, held: headBytes}
	if ok {
		request.charged = c.headBytes
	}
	return request, func() {
		if request.charged > c.headBytes {
			_ = hold.Charge(context.Background(), 0)
		}
		closeHold()
	}, nil
}

// Charge makes sure that as many bytes are charged for the answer, in addition to those for the request.
func (q *Request) Charge(ctx context.Context, bytes int64) error {
	return q.need(ctx, q.held+bytes)
}

// need charges bytes unless as many are charged already.
func (q *Request) need(ctx context.Context, bytes int64) error {
	if bytes <= q.charged {
		return nil
	}
	if err := q.hold.Charge(ctx, bytes); err != nil {
		return err
	}
	q.charged = bytes
	return nil
}

// serve begins to serve the request with a charge for what it holds and the begin of its answer.
func (q *Request) serve(ctx context.Context) error {
	charged := q.held + answerBytes
	if err := q.hold.Enter(ctx, accountant.Serving, charged, nil); err != nil {
		return ErrGaveWay
	}
	q.charged = charged
	return nil
}

// ReadBody reads a body of at most limit bytes until the given time, and charges it. From then on the request is being served and does not give way.
// Errors other than those of this package mean that the client has closed its connection.
func (q *Request) ReadBody(w http.ResponseWriter, r *http.Request, limit int64, until time.Time) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	if r.ContentLength == 0 {
		return nil, q.serve(r.Context())
	}
	control := http.NewResponseController(w)
	// An error of the control means that the writer supports no deadlines, as in tests; reading is then not bounded.
	_ = control.SetReadDeadline(until)
	q.hold.Begin(accountant.Reading, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	body, err := q.read(r, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if err = ErrLate; q.hold.Ended() {
			err = ErrGaveWay
		}
	}
	if err != nil {
		return nil, err
	}
	err = q.serve(r.Context())
	_ = control.SetReadDeadline(time.Time{})
	return body, err
}

// read reads a body into a buffer that doubles as the body arrives. Both buffers are charged while one is copied to the other.
func (q *Request) read(r *http.Request, limit int64) ([]byte, error) {
	largest := limit + 1
	if r.ContentLength > 0 {
		// One byte more tells the end of the body without another buffer.
		largest = r.ContentLength + 1
	}
	head := q.held
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*int64(cap(body)), firstBody), largest)
			if err := q.need(r.Context(), head+int64(cap(body))+size); err != nil {
				return nil, ErrGaveWay
			}
			body = append(make([]byte, 0, size), body...)
			q.held = head + size
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		q.hold.Read(n)
		switch {
		case int64(len(body)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
