package responder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// RawEnding is what a raw endpoint does with a connection after its last response.
type RawEnding uint8

// Endings of connections.
const (
	// RawClose reads the rest of the body and closes the connection.
	RawClose RawEnding = iota
	// RawKeep reads the rest of the body and leaves the connection open.
	RawKeep
	// RawReset resets the connection after Delay.
	RawReset
	// RawHalfCloseReset ends the endpoint's side of the connection, and resets it after Delay.
	RawHalfCloseReset
)

// RawOptions configure a raw endpoint.
type RawOptions struct {
	// Responses are the bytes that are written after each request of a connection. "{id}" stands for the Request-Id of the request.
	Responses []string
	// Early is set if a response is written before the body of its request was read.
	Early  bool
	Ending RawEnding
	Delay  time.Duration
}

// StartRaw starts a stand-in for an endpoint of any kind whose responses need not be valid, on a loopback address. It returns the address and a function
// that closes all connections and waits for their end.
func StartRaw(options RawOptions) (address string, stop func(), err error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
				defer func() { _ = conn.Close() }()
				options.serve(ctx, conn)
			})
		}
	})
	return l.Addr().String(), func() {
		cancel()
		_ = l.Close()
		serving.Wait()
	}, nil
}

// serve writes the responses to the requests on a connection.
func (o RawOptions) serve(ctx context.Context, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for i, response := range o.Responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !o.Early {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err == nil {
			_, err = io.WriteString(conn, strings.ReplaceAll(response, "{id}", request.Header.Get("Request-Id")))
		}
		if err == nil && i == len(o.Responses)-1 {
			o.end(ctx, conn, request)
		} else if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err != nil {
			return
		}
	}
}

// end ends a connection after the last response, or waits for its other side to do so.
func (o RawOptions) end(ctx context.Context, conn net.Conn, request *http.Request) {
	tcp, ok := conn.(*net.TCPConn)
	switch o.Ending {
	case RawClose:
		_, _ = io.Copy(io.Discard, request.Body)
		return
	case RawKeep:
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.Copy(io.Discard, conn)
		return
	case RawHalfCloseReset:
		if ok {
			_ = tcp.CloseWrite()
		}
	case RawReset:
	}
	timer := time.NewTimer(o.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if ok {
		// Without lingering, closing resets the connection.
		_ = tcp.SetLinger(0)
	}
}
