package assembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"damaskpick.example/damaskpick/internal/fleet/listener"
)

// server is a listening HTTP server.
type server struct {
	http     *http.Server
	listener net.Listener
}

// listen opens all addresses before any is served.
func (n *Node) listen(ctx context.Context, idle *listener.IdleCloser, handlers map[string]*paths) ([]server, error) {
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
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleCaller, MaxHeaderBytes: headerBytes,
			ConnState: idle.Track,
		}})
	}
	return servers, nil
}

// paths dispatches requests by their exact path. Unlike a ServeMux it never redirects: callers' paths go to endpoints as they are.
type paths struct {
	exact map[string]http.Handler
	// rest gets all other requests. It may be nil.
	rest http.Handler
}

// ServeHTTP implements http.Handler.
func (p *paths) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler, ok := p.exact[r.URL.Path]
	if !ok {
		handler = p.rest
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
