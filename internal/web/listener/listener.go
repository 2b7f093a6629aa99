// Package listener serves HTTP on a TCP address with limits, timeouts, TLS keys that are reloaded after a change, and a graceful stop.
package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"damaskpick.example/damaskpick/internal/settings/loader"
	"damaskpick.example/damaskpick/internal/web/charger"
	"damaskpick.example/damaskpick/internal/web/drainer"
)

// Options configure a Server. Address and Handler are required.
type Options struct {
	// Address is IP:port. Port 0 takes any free port.
	Address string
	Handler http.Handler
	// Keys is empty for plain TCP. With a CAFile, the server requires client certificates signed by that CA.
	Keys loader.KeyFiles
	// HeaderBytes bounds a request's header; zero means DefaultHeaderBytes. net/http allows 4 KiB more before it answers 431.
	HeaderBytes int
	// HeaderTimeout bounds the time of a TLS handshake and of reading a header; zero means DefaultHeaderTimeout.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which idle connections are closed; zero means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// WrapListener returns a replacement for the TCP listener below TLS, for example one that counts bytes. It may be nil.
	WrapListener func(net.Listener) net.Listener
	// Charger, if set, charges the connections to an account.
	Charger *charger.Charger
	Log     zerolog.Logger
}

// Defaults of Options.
const (
	DefaultHeaderBytes   = 16 << 10
	DefaultHeaderTimeout = 10 * time.Second
	// DefaultIdleTimeout exceeds the default lifetime of an address list, so that a caller that requests a new list reuses its connection.
	DefaultIdleTimeout = time.Minute
)

// stopLinger is how long Stop leaves an idle connection for another request. It covers a round trip between distant data centres, so that
// a caller that sends one request after another learns of the end of its connection from an answer.
const stopLinger = 500 * time.Millisecond

// Server is an HTTP server that accepts connections until Stop or the clean-up function is called.
type Server struct {
	server   *http.Server
	listener net.Listener
	drainer  *drainer.Drainer
	failed   chan error
	// stopping is set before Stop closes the listener.
	stopping atomic.Bool
	// accepted is closed once no more connections are accepted.
	accepted chan struct{}
}

// Listen starts a server. The clean-up function closes all connections immediately; call Stop first for a graceful stop.
func Listen(options Options) (*Server, func(), error) {
	setDefaults(&options)
	inner, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", options.Address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	if options.WrapListener != nil {
		inner = options.WrapListener(inner)
	}
	connections := drainer.New()
	inner = connections.Listener(inner)
	if options.Keys != (loader.KeyFiles{}) {
		keys, err := NewKeys(options.Keys, options.Log)
		if err != nil {
			return nil, nil, errors.Join(err, inner.Close())
		}
		inner = tls.NewListener(inner, keys.ServerConfig())
	}
	s := &Server{
		server: newServer(options, connections), listener: inner, drainer: connections,
		failed: make(chan error, 1), accepted: make(chan struct{}),
	}
	go s.serve()
	return s, func() { _ = s.server.Close() }, nil
}

func setDefaults(o *Options) {
	if o.HeaderBytes <= 0 {
		o.HeaderBytes = DefaultHeaderBytes
	}
	if o.HeaderTimeout <= 0 {
		o.HeaderTimeout = DefaultHeaderTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
}

func newServer(o Options, connections *drainer.Drainer) *http.Server {
	// HTTP/2 is disabled for two reasons: a write deadline would also end streams that wait for the next token, and a caller that stops
	// reading one stream would block the other streams of its connection.
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	server := &http.Server{
		Handler:           connections.Handler(o.Handler),
		MaxHeaderBytes:    o.HeaderBytes,
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		Protocols:         protocols,
		ConnState:         connections.Track,
		ConnContext:       connections.ConnContext,
		// net/http logs failed handshakes and panics of handlers here.
		ErrorLog: log.New(warnWriter{o.Log}, "", 0),
	}
	if o.Charger != nil {
		server.ConnState = func(conn net.Conn, state http.ConnState) {
			o.Charger.Track(conn, state)
			connections.Track(conn, state)
		}
		server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			return o.Charger.ConnContext(connections.ConnContext(ctx, conn), conn)
		}
	}
	return server
}

func (s *Server) serve() {
	defer close(s.accepted)
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !s.stopping.Load() {
		s.failed <- fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Failed returns a channel that receives an error if the server ends other than by Stop or the clean-up function.
func (s *Server) Failed() <-chan error { return s.failed }

// Stop closes the listener and returns when the last connection has ended, or the error of ctx if that comes first. Answers end their
// connections, and connections without a request end after stopLinger.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	err := s.listener.Close()
	<-s.accepted
	// http.Server.Shutdown would drop requests whose header is read after the call.
	if err = errors.Join(err, s.drainer.Drain(ctx, stopLinger)); err != nil {
		return fmt.Errorf("stop %s: %w", s.listener.Addr(), err)
	}
	return nil
}

// warnWriter logs each line of a standard logger as a warning.
type warnWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (w warnWriter) Write(line []byte) (int, error) {
	text := string(line)
	for text != "" && text[len(text)-1] == '\n' {
		text = text[:len(text)-1]
	}
	w.log.Warn().Str("detail", text).Msg("HTTP server")
	return len(line), nil
}
