// Package follower reads log streams from their start and posts the records to the control loop.
package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"damaskpick.example/damaskpick/internal/backing/appender"
	"damaskpick.example/damaskpick/internal/control/modeler"
)

const (
	// Wait is how long one read waits for a record. A read of the end of the control stream lets a node start new work for
	// modeler.FenceTimeout, so two consecutive reads must fit within that time.
	Wait = time.Second
	// PageRecords is the maximum number of records of one read. 100 outcome records of the maximum size of 64 KiB take 11 MiB
	// in the response. The limit is halved after each failed read, because a page of larger records may exceed the client's
	// limit.
	PageRecords = 100
	// minBackoff and maxBackoff bound the pause after a failed read. The upper bound makes a node resume reading within seconds
	// after the log is available again.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Reader reads the log.
type Reader interface {
	Read(ctx context.Context, stream modeler.Stream, from int64, limit int, wait time.Duration) (appender.Page, error)
}

// Follower reads streams by long polling.
type Follower struct {
	reader  Reader
	streams []modeler.Stream
	post    func(modeler.Event)
}

// New returns a follower that posts RecordsRead for each read and LogFailed for each failed read of the streams.
func New(reader Reader, streams []modeler.Stream, post func(modeler.Event)) *Follower {
	return &Follower{reader: reader, streams: streams, post: post}
}

// Run reads the streams until ctx ends and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, stream := range f.streams {
		group.Go(func() error { return f.follow(ctx, stream) })
	}
	return group.Wait()
}

// cursor holds the position and the parameters of the next read of one stream.
type cursor struct {
	from     int64
	limit    int
	wait     time.Duration
	failures int
}

// withFailure returns the cursor after a failed read, with half the limit.
func (c cursor) withFailure() cursor {
	c.failures++
	c.limit = max(c.limit/2, 1)
	return c
}

// withPage returns the cursor after a page. Only a read from the end of the stream waits.
func (c cursor) withPage(page appender.Page) cursor {
	next := cursor{from: nextOffset(page, c.from), limit: PageRecords}
	if next.from >= page.Next {
		next.wait = Wait
	}
	return next
}

// follow reads one stream. Its first read does not wait, so that an empty stream is reported immediately.
func (f *Follower) follow(ctx context.Context, stream modeler.Stream) error {
	position := cursor{from: 1, limit: PageRecords}
	for {
		askedAt := time.Now()
		page, err := f.reader.Read(ctx, stream, position.from, position.limit, position.wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		var delay time.Duration
		if err != nil {
			f.post(modeler.LogFailed{Stream: stream})
			position = position.withFailure()
			delay = backoff(position.failures)
		} else {
			f.post(newRecordsRead(stream, page, position.from, askedAt))
			if position.wait > 0 && len(page.Records) == 0 {
				// If the log returned early without records, a pause avoids a busy loop.
				delay = minBackoff - time.Since(askedAt)
			}
			position = position.withPage(page)
		}
		if err := pause(ctx, delay); err != nil {
			return err
		}
	}
}

// newRecordsRead returns the event of a read. It includes records of an unknown kind, because their time shows what a gap may
// contain; systems skip their values.
func newRecordsRead(stream modeler.Stream, page appender.Page, from int64, askedAt time.Time) modeler.RecordsRead {
	return modeler.RecordsRead{
		Stream: stream, Records: page.Records, AskedAt: askedAt,
		AtEnd: nextOffset(page, from) >= page.Next, Skipped: page.First > from,
	}
}

// nextOffset returns the offset of the next read.
func nextOffset(page appender.Page, from int64) int64 {
	if n := len(page.Records); n > 0 {
		return page.Records[n-1].Offset + 1
	}
	return max(from, page.First)
}

// backoff returns the pause after a number of consecutive failures. It doubles with each of them, and is random within its upper
// half, so that nodes do not retry at the same time.
func backoff(failures int) time.Duration {
	limit := min(minBackoff<<min(failures-1, 10), maxBackoff)
	return limit/2 + rand.N(limit/2)
}

// pause waits for d, or returns the error of ctx if ctx ends earlier.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
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
