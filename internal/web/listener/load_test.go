package listener

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// answerListener records, by the address of the caller, whether a connection has read bytes since it last wrote some.
type answerListener struct {
	net.Listener
	unanswered *sync.Map
}

func (l answerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return answerConn{c, l.unanswered}, err
}

type answerConn struct {
	net.Conn
	unanswered *sync.Map
}

func (c answerConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.unanswered.Store(c.RemoteAddr().String(), true)
	}
	return n, err
}

func (c answerConn) Write(data []byte) (int, error) {
	c.unanswered.Delete(c.RemoteAddr().String())
	return c.Conn.Write(data)
}

// TestStopUnderLoad guards against a graceful stop that reads requests of callers in a tight loop and closes their connections without an
// answer.
func TestStopUnderLoad(t *testing.T) {
	for _, c := range []struct {
		name                   string
		callers, warmUp, stops int
	}{
		{"one caller", 1, 20, 10},
		{"many callers", 64, 500, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range c.stops {
				stopUnderLoad(t, c.callers, c.warmUp)
			}
		})
	}
}

// stopUnderLoad stops a server once it has answered warmUp requests of callers that send one after another until one fails.
func stopUnderLoad(t *testing.T, callers, warmUp int) {
	t.Helper()
	var unanswered sync.Map
	var answered, cut atomic.Int64
	warm := make(chan struct{})
	server := listen(t, Options{
		WrapListener: func(l net.Listener) net.Listener { return answerListener{l, &unanswered} },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if answered.Add(1) == int64(warmUp) {
				close(warm)
			}
			_, _ = io.Copy(w, r.Body)
		}),
	})
	var group errgroup.Group
	for range callers {
		group.Go(func() error {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for {
				address, err := post(t.Context(), transport, server.Address())
				if err == nil {
					continue
				}
				if _, found := unanswered.Load(address); found {
					cut.Add(1)
				}
				return nil
			}
		})
	}
	<-warm
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, server.Stop(ctx))
	assert.NilError(t, group.Wait())
	assert.Equal(t, cut.Load(), int64(0), "requests were read and not answered")
}

// post sends a request that the transport does not repeat, and returns the local address of its connection.
func post(ctx context.Context, transport *http.Transport, address string) (string, error) {
	var local string
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { local = info.Conn.LocalAddr().String() },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, io.NopCloser(strings.NewReader("text")))
	if err != nil {
		return "", err
	}
	request.ContentLength = int64(len("text"))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return local, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return local, err
}
