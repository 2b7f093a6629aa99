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

// startRawEndpoint starts an endpoint with an entry for a service that writes the bytes of its answers itself. answer is called after a request was read,
// and the connection is closed when it returns.
func startRawEndpoint(t *testing.T, d *deployment, id, service string, answer func(conn net.Conn, request *http.Request)) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serve := func(conn net.Conn) {
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer(conn, request)
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
