package listener

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// closing notes whether it was closed.
type closing struct {
	net.Conn
	closed bool
}

func (c *closing) Close() error {
	c.closed = true
	return nil
}

// TestIdle guards against connections that are closed while they carry a request or before the operators' limit, and against idle ones that
// stay for ever.
func TestIdle(t *testing.T) {
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
		{"gone", 5 * time.Second, []http.ConnState{http.StateIdle, http.StateClosed}, time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			configuration := modeler.NewConfiguration(1, nil, nil, nil, modeler.Limits{IdleTimeout: tt.limit})
			idle := &Idle{Snapshot: func() *modeler.Snapshot { return &modeler.Snapshot{Configuration: configuration} }}
			conn := &closing{}
			for _, state := range tt.states {
				idle.Track(conn, state)
			}
			idle.closeBefore(time.Now().Add(tt.after))
			assert.Equal(t, conn.closed, tt.closed)
		})
	}
}
