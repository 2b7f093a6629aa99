package checker

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Conn is a connection on which a client reads responses. Reading an invalid head returns a HeadError instead of the bytes. It is safe for the concurrent use
// that net.Conn allows.
type Conn struct {
	net.Conn
	mu sync.Mutex
	// scanner has got all bytes that were read since the last call of ExpectHead, and since the connection was made before the first.
	scanner Scanner
}

// NewConn returns a Conn that expects a head.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// ExpectHead checks the bytes that are read from now on as a head. It is called before each request.
func (c *Conn) ExpectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner = Scanner{}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.scanner.Scan(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// Transport is an http.Transport for unencrypted connections whose responses all have a valid head. A round trip with an invalid one returns a HeadError.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport. It changes DialContext of base, which must not be used directly from then on.
func NewTransport(base *http.Transport) Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return Transport{Transport: base}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			conn.ExpectHead()
		}
	}}
	return t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}
