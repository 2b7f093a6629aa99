package counter

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTraffic guards against bytes that are counted twice, not at all, or in the wrong direction.
func TestTraffic(t *testing.T) {
	for _, c := range []struct {
		name                      string
		request, response         string
		wantRequest, wantResponse uint64
	}{
		{"both directions", "question", "yes", 8, 3},
		{"no response", "question", "", 8, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server, client := New("server "+c.name), New("client "+c.name)
			l := server.Listen(inner)
			defer func() { _ = l.Close() }()
			done := make(chan error, 1)
			go func() { done <- serveOnce(l, len(c.request), c.response) }()
			conn, err := client.Dial((&net.Dialer{}).DialContext)(t.Context(), "tcp", inner.Addr().String())
			assert.NilError(t, err)
			_, err = io.WriteString(conn, c.request)
			assert.NilError(t, err)
			_, err = io.ReadAll(conn)
			assert.NilError(t, err)
			assert.NilError(t, <-done)
			assert.Equal(t, client.Sent.Get(), c.wantRequest)
			assert.Equal(t, server.Received.Get(), c.wantRequest)
			assert.Equal(t, client.Received.Get(), c.wantResponse)
			assert.Equal(t, server.Sent.Get(), c.wantResponse)
			assert.Equal(t, client.Opened.Get()+server.Opened.Get(), uint64(2))
		})
	}
}

// serveOnce accepts a connection, reads n bytes, writes text and closes the connection.
func serveOnce(l net.Listener, n int, text string) error {
	conn, err := l.Accept()
	if err != nil {
		return err
	}
	if _, err := io.ReadFull(conn, make([]byte, n)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	return conn.Close()
}
