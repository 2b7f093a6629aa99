package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// idleMargin is added to the operators' limit, so that a caller that uses a connection at the last moment is not cut.
	idleMargin = time.Second
	// idleCheck is how often connections are looked at.
	idleCheck = time.Second
)

// Idle closes callers' connections that are idle for longer than the operators allow. The limit changes with the configuration, which an
// http.Server does not follow. It is safe for concurrent use.
type Idle struct {
	Snapshot func() *modeler.Snapshot

	mu sync.Mutex
	// since holds when each idle connection became idle.
	since map[net.Conn]time.Time
}

// Track is the ConnState of the server.
func (i *Idle) Track(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state != http.StateIdle {
		delete(i.since, conn)
		return
	}
	if i.since == nil {
		i.since = map[net.Conn]time.Time{}
	}
	i.since[conn] = time.Now()
}

// Run closes idle connections until ctx ends.
func (i *Idle) Run(ctx context.Context) error {
	ticker := time.NewTicker(idleCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			i.closeBefore(now)
		}
	}
}

// closeBefore closes the connections whose limit is over.
func (i *Idle) closeBefore(now time.Time) {
	limit := i.Snapshot().Configuration.Limits.IdleTimeout
	if limit <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn, since := range i.since {
		if now.Sub(since) > limit+idleMargin {
			// The server forgets the connection when its reading fails.
			_ = conn.Close()
			delete(i.since, conn)
		}
	}
}
