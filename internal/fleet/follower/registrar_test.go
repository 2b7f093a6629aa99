package follower_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/follower"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// registrations is a store of registrations. Each call is announced on calls when it is done.
type registrations struct {
	records []modeler.Record
	calls   chan string
}

func (s *registrations) Read(context.Context, string, modeler.Position, time.Duration) (modeler.Page, error) {
	panic("not expected")
}

func (s *registrations) Newest(context.Context, string) (modeler.Page, error) {
	page := modeler.Page{Records: s.records}
	s.calls <- "list"
	return page, nil
}

func (s *registrations) Append(_ context.Context, _, key string, value []byte) (modeler.Position, error) {
	rank := modeler.Position(len(s.records))
	s.records = append(s.records, modeler.Record{Key: key, Value: value, Offset: rank})
	s.calls <- "append"
	return rank, nil
}

// TestRegisterAgain guards against a registration that is missing after the store has come back from a copy, and against needless writes by nodes whose
// registrations are in the copy.
func TestRegisterAgain(t *testing.T) {
	tests := []struct {
		name string
		keep bool
		want []string
	}{
		{"in the copy", true, []string{"list"}}, {"lost", false, []string{"list", "append"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &registrations{calls: make(chan string)}
			ranks := make(chan modeler.Position, 10)
			r := follower.NewRegistrar(store, "nodes", modeler.Node{ID: "n", Incarnation: 7}, func(e modeler.Event) {
				if registered, ok := e.(modeler.SelfRegistered); ok {
					ranks <- registered.Rank
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- r.Run(ctx) }()
			assert.Equal(t, <-store.calls, "append")
			assert.Equal(t, <-store.calls, "list")
			if !tt.keep {
				store.records = nil
			}
			r.RegisterAgain()
			for _, call := range tt.want {
				assert.Equal(t, <-store.calls, call)
			}
			r.RegisterAgain()
			assert.Equal(t, <-store.calls, "list")
			cancel()
			assert.ErrorIs(t, <-done, context.Canceled)
			assert.Equal(t, len(ranks), 1, "the rank stays")
			assert.Equal(t, len(store.records), 1)
		})
	}
}
