package assembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"damaskpick.example/damaskpick/internal/fleet/listener"
)

// server is an HTTP server with its open listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

// listen opens listeners on all addresses before any request is served. If one fails, it closes the others and returns the error.
func (n *Node) listen(ctx context.Context, idleCloser *listener.IdleCloser, handlers map[string]*pathRouter) ([]server, error) {
	var servers []server
	for address, handler := range handlers {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
		if err != nil {
			for _, s := range servers {
				err = errors.Join(err, s.listener.Close())
			}
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		servers = append(servers, server{listener: l, http: &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ConnState: idleCloser.Track,
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

func (s server) serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s server) close() error { return s.http.Close() }
