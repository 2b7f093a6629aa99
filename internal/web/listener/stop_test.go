package listener

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// observedListener reports reads of its connections and its end. While hold is set, the server gets the bytes of a read only once resume is
// closed.
type observedListener struct {
	net.Listener
	read   chan struct{}
	hold   *atomic.Bool
	resume chan struct{}
	closed chan struct{}
	once   *sync.Once
}

func (l observedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return observedConn{c, l}, err
}

func (l observedListener) Close() error {
	defer l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type observedConn struct {
	net.Conn
	listener observedListener
}

func (c observedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && c.listener.hold.Load() {
		c.listener.read <- struct{}{}
		<-c.listener.resume
	}
	return n, err
}

func newObservedListener() observedListener {
	return observedListener{
		read: make(chan struct{}, 10), hold: new(atomic.Bool), resume: make(chan struct{}), closed: make(chan struct{}), once: new(sync.Once),
	}
}

// TestStopAnswersRequests guards against a graceful stop that closes a connection on which a request was just read, or on which a caller
// sends its next request right after an answer that did not announce the end of the connection.
func TestStopAnswersRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		// earlier is the number of requests that are answered on the connection before the stop.
		earlier int
		// during is set if a request is being answered when the stop begins, and the one that is checked follows it.
		during bool
		// begin is what the server has read of the request when the stop begins, rest is sent after that.
		begin, rest string
	}{
		{name: "first request read", begin: getRequest},
		{name: "later request read", earlier: 1, begin: getRequest},
		{name: "first header read in part", begin: getRequest[:5], rest: getRequest[5:]},
		{name: "later header read in part", earlier: 1, begin: getRequest[:5], rest: getRequest[5:]},
		{name: "request after a stream", during: true, rest: getRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			observed := newObservedListener()
			begun, finish := make(chan struct{}, 10), make(chan struct{})
			server := listen(t, Options{
				WrapListener: func(l net.Listener) net.Listener { observed.Listener = l; return observed },
				Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					assert.NilError(t, http.NewResponseController(w).Flush())
					begun <- struct{}{}
					if c.during {
						<-finish
					}
					_, _ = io.WriteString(w, "answer")
				}),
			})
			caller, err := net.Dial("tcp", server.Address())
			assert.NilError(t, err)
			defer func() { _ = caller.Close() }()
			assert.NilError(t, caller.SetDeadline(time.Now().Add(5*time.Second)))
			answers := bufio.NewReader(caller)
			send := func(text string) {
				_, err := io.WriteString(caller, text)
				assert.NilError(t, err)
			}
			receive := func() {
				response, err := http.ReadResponse(answers, nil)
				assert.NilError(t, err)
				defer func() { _ = response.Body.Close() }()
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "answer")
			}
			for range c.earlier {
				send(getRequest)
				receive()
			}
			if c.during {
				send(getRequest)
				<-begun
			} else {
				observed.hold.Store(true)
				send(c.begin)
				<-observed.read
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- server.Stop(ctx) }()
			<-observed.closed
			observed.hold.Store(false)
			close(observed.resume)
			if c.during {
				close(finish)
				receive()
			}
			send(c.rest)
			receive()
			assert.NilError(t, <-stopped)
		})
	}
}
