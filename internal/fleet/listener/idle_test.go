package listener

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// recordingConn records whether it was closed.
type recordingConn struct {
	net.Conn
	closed bool
}

func (c *recordingConn) Close() error {
	c.closed = true
	return nil
}

// TestIdleCloser guards against closing connections that carry a request or are within the operators' limit, and against idle connections that
// are never closed.
func TestIdleCloser(t *testing.T) {
	tests := []struct {
		name   string
		limit  time.Duration
		states []http.ConnState
		after  time.Duration
		closed bool
	}{
		{"within the limit", 5 * time.Second, []http.ConnState{http.StateIdle}, 5 * time.Second, false},
		{"over the limit", 5 * time.Second, []http.ConnState{http.StateIdle}, 7 * time.Second, true},
		{"no limit", 0, []http.ConnState{http.StateIdle}, time.Hour, false},
		{"in use again", 5 * time.Second, []http.ConnState{http.StateIdle, http.StateActive}, time.Hour, false},
		{"closed by the caller", 5 * time.Second, []http.ConnState{http.StateIdle, http.StateClosed}, time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			configuration := modeler.NewConfiguration(1, nil, nil, nil, modeler.Limits{IdleTimeout: tt.limit})
			closer := &IdleCloser{Snapshot: func() *modeler.Snapshot { return &modeler.Snapshot{Configuration: configuration} }}
			conn := &recordingConn{}
			for _, state := range tt.states {
				closer.Track(conn, state)
			}
			closer.closeExpired(time.Now().Add(tt.after))
			assert.Equal(t, conn.closed, tt.closed)
		})
	}
}
