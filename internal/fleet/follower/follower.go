// Package follower reads topics of the store and turns their records into events. Records that another node has read take the same way.
package follower

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

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
}

const (
	// answerTimeout is how long an answer may take beyond the time that the store may hold the call: the store is slow at times.
	answerTimeout = 900 * time.Millisecond
	// listTimeout bounds the reading of all newest records.
	listTimeout = 4 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call of the registrar.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxDeliveries bounds the deliveries that wait: each holds everything before, so that the newest would do.
	maxDeliveries = 4
)

// Follower reads one topic when it is asked to.
type Follower struct {
	Store  Store
	Source Source
	Post   func(modeler.Event)
	// OnUnreadable is told about records that cannot be decoded.
	OnUnreadable func(topic modeler.Topic, record modeler.Record, err error)

	requests   chan modeler.Fetch
	deliveries chan modeler.Deliver
	// listed is set once the newest records are known.
	listed atomic.Bool
}

// New returns a follower.
func New(store Store, source Source, post func(modeler.Event), onUnreadable func(modeler.Topic, modeler.Record, error)) *Follower {
	return &Follower{
		Store: store, Source: source, Post: post, OnUnreadable: onUnreadable,
		requests: make(chan modeler.Fetch, 1), deliveries: make(chan modeler.Deliver, maxDeliveries),
	}
}

// Fetch asks for a read. It does not wait; a request that comes while another one waits is dropped, since that one reads as far.
func (f *Follower) Fetch(request modeler.Fetch) {
	select {
	case f.requests <- request:
	default:
	}
}

// Deliver hands over records that another node has read. It does not wait; what is dropped is sent again.
func (f *Follower) Deliver(delivery modeler.Deliver) {
	select {
	case f.deliveries <- delivery:
	default:
	}
}

// Run carries out reads and deliveries until ctx ends. Deliveries have their own goroutine, because they matter most while a read waits for
// a store that is silent.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.runReads(ctx) })
	group.Go(func() error { return f.runDeliveries(ctx) })
	return group.Wait()
}

func (f *Follower) runDeliveries(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case delivery := <-f.deliveries:
			f.take(delivery.Page, modeler.TopicRead{Current: delivery.Current, Listed: true, FromPeer: true})
		}
	}
}

func (f *Follower) runReads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-f.requests:
			if err := f.read(ctx, request); err != nil {
				f.Post(modeler.TopicFailed{Topic: f.Source.Topic, Reason: err.Error()})
			}
		}
	}
}

// read makes one call, or several for the newest records.
func (f *Follower) read(ctx context.Context, request modeler.Fetch) error {
	began := time.Now()
	if !f.listed.Load() {
		return f.list(ctx, began)
	}
	readCtx, cancel := context.WithTimeout(ctx, request.Wait+answerTimeout)
	defer cancel()
	page, err := f.Store.Read(readCtx, f.Source.Name, request.From, request.Wait)
	var truncated modeler.TruncatedError
	if errors.As(err, &truncated) {
		return f.list(ctx, began)
	}
	if err != nil {
		return err
	}
	f.deliver(page.Records)
	current := began
	if len(page.Records) == 0 {
		// The store has held the call and then found nothing.
		current = began.Add(request.Wait)
	}
	f.Post(modeler.TopicRead{Topic: f.Source.Topic, Next: page.Next, Current: current, Records: page.Records})
	return nil
}

func (f *Follower) list(ctx context.Context, began time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := f.Store.Newest(ctx, f.Source.Name)
	if err != nil {
		return err
	}
	f.take(page, modeler.TopicRead{Current: began, Listed: true})
	return nil
}

// take posts the newest records of all keys, and then what read says about the reading of them.
func (f *Follower) take(page modeler.Page, read modeler.TopicRead) {
	keys := map[string]bool{}
	for _, record := range page.Records {
		if key, ok := f.Source.Key(record.Key); ok {
			keys[key] = true
		}
	}
	f.deliver(page.Records)
	f.Post(modeler.TopicListed{Topic: f.Source.Topic, Keys: keys, End: page.Next})
	f.listed.Store(true)
	read.Topic, read.Next, read.Records = f.Source.Topic, page.Next, page.Records
	f.Post(read)
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
