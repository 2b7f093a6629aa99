// Package follower reads topics of the store and posts their records as events. Records received from another node are processed in the same
// way.
package follower

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Store reads topics.
type Store interface {
	Read(ctx context.Context, topic string, from modeler.Position, wait time.Duration) (modeler.Page, error)
	Newest(ctx context.Context, topic string) (modeler.Page, error)
}

// Source describes how a topic is read.
type Source struct {
	Topic modeler.Topic
	// Name is the topic's name in the store.
	Name string
	// Decode returns the event of a record, or nil if the record has none. An event returned with an error is still posted.
	Decode func(modeler.Record) (modeler.Event, error)
	// Key returns the identifier that a record key of the topic stands for, or false if it stands for none.
	Key func(key string) (string, bool)
	// History is the number of records before the end of the topic that are read with the first listing, for the entries that were removed last. Zero
	// means none.
	History int64
}

const (
	// readGrace is added to the time for which the store may hold a read, because the store is sometimes slow.
	readGrace = 900 * time.Millisecond
	// listTimeout bounds the call that lists the newest records.
	listTimeout = 4 * time.Second
	// minBackoff and four times maxBackoff bound the pause after a failed call of the registrar.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxDeliveries is the capacity of the queue of deliveries. A small one suffices, because each delivery contains the earlier ones.
	maxDeliveries = 4
)

// Follower reads one topic on request.
type Follower struct {
	Store  Store
	Source Source
	Post   func(modeler.Event)
	// OnUnreadable is called for each record that cannot be decoded.
	OnUnreadable func(topic modeler.Topic, record modeler.Record, err error)

	requests   chan modeler.Fetch
	deliveries chan modeler.Deliver
	// listed is set once the newest records of the topic were posted.
	listed atomic.Bool
}

// New returns a follower that posts events of the source's topic.
func New(store Store, source Source, post func(modeler.Event), onUnreadable func(modeler.Topic, modeler.Record, error)) *Follower {
	return &Follower{
		Store: store, Source: source, Post: post, OnUnreadable: onUnreadable,
		requests: make(chan modeler.Fetch, 1), deliveries: make(chan modeler.Deliver, maxDeliveries),
	}
}

// Fetch requests a read. It does not block: a request is dropped while another one is pending, because the pending one reads as far.
func (f *Follower) Fetch(request modeler.Fetch) {
	select {
	case f.requests <- request:
	default:
	}
}

// Deliver queues records that another node has read. It does not block: a delivery is dropped if the queue is full, because the other node
// sends the records again.
func (f *Follower) Deliver(delivery modeler.Deliver) {
	select {
	case f.deliveries <- delivery:
	default:
	}
}

// Run processes reads and deliveries until ctx ends and returns its error. Deliveries have their own goroutine, because they are needed most
// while a read waits for a store that does not respond.
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
			f.postListing(delivery.Page, modeler.TopicRead{ConfirmedAt: delivery.ConfirmedAt, Listed: true, FromPeer: true})
		}
	}
}

func (f *Follower) runReads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-f.requests:
			startedAt := time.Now()
			if err := f.read(ctx, request); err != nil {
				f.Post(modeler.TopicFailed{Topic: f.Source.Topic, Reason: err.Error(), StartedAt: startedAt})
			}
		}
	}
}

// read reads the records from request.From on. It lists the newest records instead if that was requested or has not succeeded yet, if the store has
// deleted records at request.From, if it has come back from a copy since then, or if the next record is too large for a page.
func (f *Follower) read(ctx context.Context, request modeler.Fetch) error {
	startedAt := time.Now()
	if request.Newest || !f.listed.Load() {
		return f.list(ctx, startedAt)
	}
	readCtx, cancel := context.WithTimeout(ctx, request.Wait+readGrace)
	defer cancel()
	page, err := f.Store.Read(readCtx, f.Source.Name, request.From, request.Wait)
	var truncated modeler.TruncatedError
	if errors.As(err, &truncated) {
		return f.list(ctx, startedAt)
	}
	if err != nil {
		return err
	}
	if page.End.Era() != request.From.Era() || page.Next == request.From && page.Next < page.End {
		return f.list(ctx, startedAt)
	}
	f.postRecords(page.Records)
	current := startedAt
	switch {
	case page.Next < page.End:
		current = time.Time{}
	case len(page.Records) == 0:
		// The store held the call for request.Wait and found no record until then.
		current = startedAt.Add(request.Wait)
	}
	f.Post(modeler.TopicRead{Topic: f.Source.Topic, Next: page.Next, End: page.End, ConfirmedAt: current, Records: page.Records})
	return nil
}

// list reads and posts the newest record of each key.
func (f *Follower) list(ctx context.Context, startedAt time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := f.Store.Newest(ctx, f.Source.Name)
	if err != nil {
		return err
	}
	var dropped []modeler.EndpointChanged
	if f.Source.History > 0 && !f.listed.Load() {
		dropped = f.readDropped(ctx, page)
	}
	f.postListing(page, modeler.TopicRead{ConfirmedAt: startedAt, Listed: true}, dropped...)
	return nil
}

// readDropped returns the entries that were removed within the last records of the topic. A failure is not reported: the listing suffices to serve.
func (f *Follower) readDropped(ctx context.Context, listing modeler.Page) []modeler.EndpointChanged {
	page, err := f.Store.Read(ctx, f.Source.Name, listing.Next.Before(f.Source.History), 0)
	var truncated modeler.TruncatedError
	if errors.As(err, &truncated) {
		page, err = f.Store.Read(ctx, f.Source.Name, truncated.First, 0)
	}
	if err != nil {
		return nil
	}
	present := map[string]bool{}
	for _, record := range listing.Records {
		present[record.Key] = true
	}
	return droppedEntries(f.Source.Decode, page.Records, present)
}

// droppedEntries returns the last entry of each key that is not present and whose last record is a removal, with the offset of the removal.
func droppedEntries(decode func(modeler.Record) (modeler.Event, error), records []modeler.Record, present map[string]bool) []modeler.EndpointChanged {
	last := map[string]modeler.EndpointChanged{}
	var dropped []modeler.EndpointChanged
	for _, record := range records {
		if present[record.Key] {
			continue
		}
		event, err := decode(record)
		switch e := event.(type) {
		case modeler.EndpointChanged:
			last[record.Key] = e
		case modeler.EndpointRemoved:
			if entry, ok := last[record.Key]; ok && err == nil {
				entry.Offset = e.Offset
				dropped = append(dropped, entry)
			}
			delete(last, record.Key)
		}
	}
	// A key may have been removed, written and removed again.
	newest := map[modeler.EndpointID]modeler.Position{}
	for _, entry := range dropped {
		newest[entry.Endpoint.ID] = max(newest[entry.Endpoint.ID], entry.Offset)
	}
	return slices.DeleteFunc(dropped, func(e modeler.EndpointChanged) bool { return e.Offset < newest[e.Endpoint.ID] })
}

// postListing posts ListingBegan, then the newest records of all keys, then the entries that were removed last, then TopicListed, then read with its topic, next offset and
// records set.
func (f *Follower) postListing(page modeler.Page, read modeler.TopicRead, dropped ...modeler.EndpointChanged) {
	keys := map[string]bool{}
	for _, record := range page.Records {
		if key, ok := f.Source.Key(record.Key); ok {
			keys[key] = true
		}
	}
	f.Post(modeler.ListingBegan{Topic: f.Source.Topic, End: page.End})
	f.postRecords(page.Records)
	if len(dropped) > 0 {
		f.Post(modeler.EndpointsDropped{Entries: dropped})
	}
	f.Post(modeler.TopicListed{Topic: f.Source.Topic, Keys: keys, End: page.Next})
	f.listed.Store(true)
	read.Topic, read.Next, read.End, read.Records = f.Source.Topic, page.Next, page.End, page.Records
	f.Post(read)
}

// postRecords posts the event of each record, sets the version of records that have one, and reports records that cannot be decoded.
func (f *Follower) postRecords(records []modeler.Record) {
	for i, record := range records {
		event, err := f.Source.Decode(record)
		if err != nil {
			f.OnUnreadable(f.Source.Topic, record, err)
		}
		if e, ok := event.(modeler.ConfigurationChanged); ok {
			records[i].Version = e.Configuration.Version
		}
		if event != nil {
			f.Post(event)
		}
	}
}

// sleep waits for d and returns early with the error of ctx if ctx ends.
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
