package assembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/listener"
	"damaskpick.example/damaskpick/internal/web/charger"
	"damaskpick.example/damaskpick/internal/web/drainer"
)

// requestLinger is how long a stopping node leaves a connection for another request: several round trips to callers, since a caller may not know
// yet that the node stops.
const requestLinger = 50 * time.Millisecond

// server is an HTTP server with its open listener.
type server struct {
	http     *http.Server
	listener net.Listener
	drainer  *drainer.Drainer
	// accepted is closed once no more connections are accepted.
	accepted chan struct{}
}

// listen opens listeners on all addresses before any request is served. If one fails, it closes the others and returns the error.
func (n *Node) listen(ctx context.Context, idleCloser *listener.IdleCloser, callers *charger.Charger, handlers map[string]*pathRouter) ([]server, error) {
	var servers []server
	for address, handler := range handlers {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
		if err != nil {
			for _, s := range servers {
				err = errors.Join(err, s.listener.Close())
			}
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		drain := drainer.New()
		servers = append(servers, server{listener: drain.Listener(l), drainer: drain, accepted: make(chan struct{}), http: &http.Server{
			Handler: drain.Handler(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
				return callers.ConnContext(drain.ConnContext(ctx, conn), conn)
			},
			ConnState: func(conn net.Conn, state http.ConnState) {
				callers.Track(conn, state)
				idleCloser.Track(conn, state)
				drain.Track(conn, state)
			},
		}})
	}
	return servers, nil
}

// pathRouter dispatches requests by their exact path. Unlike a ServeMux it never redirects, because callers' paths are forwarded to endpoints
// unchanged.
type pathRouter struct {
	exact map[string]http.Handler
	// fallback serves all other requests. If it is nil, they get 404.
	fallback http.Handler
}

// ServeHTTP implements http.Handler.
func (p *pathRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler, ok := p.exact[r.URL.Path]
	if !ok {
		handler = p.fallback
	}
	if handler == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	handler.ServeHTTP(w, r)
}

// serve accepts connections until stop or close is called.
func (s server) serve() error {
	defer close(s.accepted)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// stop accepts no further connections, ends those without a request and waits for the others until ctx ends.
func (s server) stop(ctx context.Context) {
	// An error means that the listener is closed already.
	_ = s.listener.Close()
	<-s.accepted
	// An error means that ctx has ended. The requests that still run are cut off by the caller.
	_ = s.drainer.Drain(ctx, requestLinger)
}

func (s server) close() error { return s.http.Close() }
