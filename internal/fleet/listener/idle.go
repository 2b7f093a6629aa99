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
	// idleMargin is added to the operators' limit, so that a request sent just before the limit is not cut off.
	idleMargin = time.Second
	// idleCheckInterval is the time between two checks of the connections.
	idleCheckInterval = time.Second
)

// IdleCloser closes callers' connections that are idle for longer than the operators allow. The limit changes with the configuration, which the
// IdleTimeout of an http.Server cannot follow. It is safe for concurrent use.
type IdleCloser struct {
	Snapshot func() *modeler.Snapshot

	mu sync.Mutex
	// idleSince holds the time at which each idle connection became idle.
	idleSince map[net.Conn]time.Time
}

// Track records the state of a connection. It is the ConnState callback of the http.Server.
func (c *IdleCloser) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateIdle {
		delete(c.idleSince, conn)
		return
	}
	if c.idleSince == nil {
		c.idleSince = map[net.Conn]time.Time{}
	}
	c.idleSince[conn] = time.Now()
}

// Run closes idle connections until ctx ends.
func (c *IdleCloser) Run(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			c.closeExpired(now)
		}
	}
}

// closeExpired closes the connections that have been idle for longer than the limit at the time now.
func (c *IdleCloser) closeExpired(now time.Time) {
	limit := c.Snapshot().Configuration.Limits.IdleTimeout
	if limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, idleSince := range c.idleSince {
		if now.Sub(idleSince) > limit+idleMargin {
			// The server removes the connection when its read fails.
			_ = conn.Close()
			delete(c.idleSince, conn)
		}
	}
}
