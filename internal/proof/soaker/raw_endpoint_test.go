package soaker

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// rawAnswer writes the bytes of the answer to a request and reports whether the connection can carry another one. It is closed otherwise.
type rawAnswer func(conn net.Conn, request *http.Request) (kept bool)

// startRawEndpoint starts an endpoint with an entry for a service that writes the bytes of its answers itself, once it has read the body of the request.
func startRawEndpoint(t *testing.T, d *deployment, id, service string, answer rawAnswer) {
	t.Helper()
	startEarlyEndpoint(t, d, id, service, func(conn net.Conn, request *http.Request) bool {
		_, err := io.Copy(io.Discard, request.Body)
		return err == nil && answer(conn, request)
	})
}

// startEarlyEndpoint starts such an endpoint that answers before it has read the body. The answer must read it if it reports that the connection is kept.
func startEarlyEndpoint(t *testing.T, d *deployment, id, service string, answer rawAnswer) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serve := func(conn net.Conn) {
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		defer func() { _ = conn.Close() }()
		for reader := bufio.NewReader(conn); ; {
			request, err := http.ReadRequest(reader)
			if err != nil || !answer(conn, request) {
				return
			}
		}
	}
	serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { serve(conn) })
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		serving.Wait()
	})
	e := platformtest.Endpoint{ID: id, Service: service, DataCentre: "dc-0", Slots: 16}
	d.store.Put(platform.TopicEndpoints, id, e.Entry(l.Addr().String(), "ready"))
}
