// Package follower reads topics of the store and turns their records into events. Every node reads for itself, so that what it knows does
// not depend on other nodes.
package follower

import (
	"context"
	"errors"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Store reads topics.
type Store interface {
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (modeler.Page, error)
	Newest(ctx context.Context, topic string) (modeler.Page, error)
}

// Source says how a topic is read.
type Source struct {
	Topic modeler.Topic
	// Name is the topic's name in the store.
	Name string
	// Decode returns nil for a record without meaning. An error is reported; the event beside it still counts.
	Decode func(modeler.Record) (modeler.Event, error)
	// Key returns the identifier that a record of the newest records of the topic is about; false if it has none.
	Key func(key string) (string, bool)
	// Interval is the shortest time between two calls.
	Interval time.Duration
}

const (
	// pollWait is how long the store holds a read without records. It bounds how old the answers of a store that fell silent may be
	// before the node notices.
	pollWait = time.Second
	// answerTimeout is how long an answer may take beyond that: the store is slow at times.
	answerTimeout = 900 * time.Millisecond
	// listTimeout bounds the reading of all newest records.
	listTimeout = 4 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Follower follows one topic.
type Follower struct {
	Store  Store
	Source Source
	Post   func(modeler.Event)
	// OnUnreadable is told about records that cannot be decoded.
	OnUnreadable func(topic modeler.Topic, record modeler.Record, err error)
	// next is the offset to read from, or negative before the newest records are known.
	next int64
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.next = -1
	backoff := minBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx, began)
		pause := f.Source.Interval - time.Since(began)
		var truncated modeler.TruncatedError
		switch {
		case errors.As(err, &truncated):
			f.next = -1
			pause = 0
		case err != nil:
			f.Post(modeler.TopicFailed{Topic: f.Source.Topic, Reason: err.Error()})
			pause = backoff
			backoff = min(2*backoff, maxBackoff)
		default:
			backoff = minBackoff
		}
		if err := sleep(ctx, pause); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// step makes one call, or several for the newest records.
func (f *Follower) step(ctx context.Context, began time.Time) error {
	if f.next < 0 {
		return f.list(ctx, began)
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+answerTimeout)
	defer cancel()
	page, err := f.Store.Read(ctx, f.Source.Name, f.next, pollWait)
	if err != nil {
		return err
	}
	f.deliver(page.Records)
	f.next = page.Next
	f.Post(modeler.TopicRead{Topic: f.Source.Topic, Next: page.Next, Asked: began})
	return nil
}

func (f *Follower) list(ctx context.Context, began time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := f.Store.Newest(ctx, f.Source.Name)
	if err != nil {
		return err
	}
	keys := map[string]bool{}
	for _, record := range page.Records {
		if key, ok := f.Source.Key(record.Key); ok {
			keys[key] = true
		}
	}
	f.deliver(page.Records)
	f.Post(modeler.TopicListed{Topic: f.Source.Topic, Keys: keys})
	f.next = page.Next
	f.Post(modeler.TopicRead{Topic: f.Source.Topic, Next: page.Next, Asked: began})
	return nil
}

func (f *Follower) deliver(records []modeler.Record) {
	for _, record := range records {
		event, err := f.Source.Decode(record)
		if err != nil {
			f.OnUnreadable(f.Source.Topic, record, err)
		}
		if event != nil {
			f.Post(event)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
