package responder

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is the HTTP server of a stand-in. It can stop accepting connections for a while, like a process that restarts.
type server struct {
	http    *http.Server
	conns   *connections
	address string

	mu       sync.Mutex
	listener net.Listener
	timer    *time.Timer
	stopped  bool
	serving  sync.WaitGroup
}

func newServer(address string, handler http.Handler) (*server, error) {
	s := &server{
		http:  &http.Server{Handler: handler, ConnContext: withConnection, ReadHeaderTimeout: 10 * time.Second},
		conns: newConnections(),
	}
	if err := s.listen(address); err != nil {
		return nil, err
	}
	s.address = s.listener.Addr().String()
	return s, nil
}

func (s *server) listen(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.listener = l
	s.serving.Go(func() { _ = s.http.Serve(&listener{Listener: l, set: s.conns}) })
	return nil
}

// crash refuses new connections for down and resets the open ones other than except, which carries the request for the crash.
func (s *server) crash(except *connection, down time.Duration) {
	if down > 0 {
		s.mu.Lock()
		_ = s.listener.Close()
		if s.timer != nil {
			s.timer.Stop()
		}
		s.timer = time.AfterFunc(down, func() { _ = s.listen(s.address) })
		s.mu.Unlock()
	}
	s.conns.resetAll(except)
}

func (s *server) close() {
	s.mu.Lock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
	s.mu.Unlock()
	_ = s.http.Close()
	_ = s.listener.Close()
	s.conns.resetAll(nil)
	s.serving.Wait()
}

// milliseconds is a duration in milliseconds, the unit of JSON fields whose names end in Ms.
type milliseconds int64

func (m milliseconds) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// readJSON decodes a request body. It reports whether that succeeded, and otherwise responds 400.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		writeError(w, http.StatusBadRequest, "invalid body: "+err.Error())
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// writeError responds with an error object in the form of OpenAI-compatible servers.
func writeError(w http.ResponseWriter, status int, message string) {
	type body struct {
		Message string `json:"message"`
		Code    int    `json:"code"`
	}
	writeJSON(w, status, map[string]body{"error": {Message: message, Code: status}})
}
