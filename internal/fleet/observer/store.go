package observer

import (
	"context"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/follower"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Store counts and times the calls to another store.
type Store struct {
	next     follower.Appender
	observer *Observer
}

// Store returns a store that counts and times its calls and forwards them to next.
func (o *Observer) Store(next follower.Appender) *Store { return &Store{next: next, observer: o} }

// Read implements follower.Store. The recorded time includes the time for which the store holds the call while it waits for new records.
func (s *Store) Read(ctx context.Context, topic string, from modeler.Position, wait time.Duration) (modeler.Page, error) {
	began := time.Now()
	page, err := s.next.Read(ctx, topic, from, wait)
	s.count("Read", began, err)
	return page, err
}

// Newest implements follower.Store.
func (s *Store) Newest(ctx context.Context, topic string) (modeler.Page, error) {
	began := time.Now()
	page, err := s.next.Newest(ctx, topic)
	s.count("Newest", began, err)
	return page, err
}

// Append implements follower.Appender.
func (s *Store) Append(ctx context.Context, topic, key string, value []byte) (modeler.Position, error) {
	began := time.Now()
	offset, err := s.next.Append(ctx, topic, key, value)
	s.count("Append", began, err)
	return offset, err
}

func (s *Store) count(call string, began time.Time, err error) {
	outcome := "Ok"
	if err != nil {
		outcome = "Failed"
	}
	s.observer.set.GetOrCreateCounter(`damaskpick_store_calls_total{call="` + call + `",outcome="` + outcome + `"}`).Inc()
	s.observer.set.GetOrCreateHistogram(`damaskpick_store_seconds{call="` + call + `"}`).Update(time.Since(began).Seconds())
}
