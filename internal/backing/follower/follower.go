// Package follower reads log streams from their start and hands the records to the control loop.
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
	// Wait is how long one read waits for a record. Reads of the end of the control stream keep the fence open, so two
	// reads in a row must fit into modeler.FenceTimeout.
	Wait = time.Second
	// PageRecords bounds one read. 100 outcome records at their limit of 64 KiB take 11 MiB in the answer. The bound is
	// halved after each failed read, because a page of larger records may exceed what the client accepts.
	PageRecords = 100
	// minBackoff and maxBackoff bound the pause after a failed read. The upper bound keeps a node that comes back within
	// seconds of the log.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Reader reads the log.
type Reader interface {
	Read(ctx context.Context, stream modeler.Stream, from int64, limit int, wait time.Duration) (appender.Page, error)
}

// Follower follows streams by long poll.
type Follower struct {
	reader  Reader
	streams []modeler.Stream
	post    func(modeler.Event)
}

// New returns a follower that posts RecordsRead for each read and LogFailed for each failed read of the streams.
func New(reader Reader, streams []modeler.Stream, post func(modeler.Event)) *Follower {
	return &Follower{reader: reader, streams: streams, post: post}
}

// Run follows until ctx ends and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, stream := range f.streams {
		group.Go(func() error { return f.follow(ctx, stream) })
	}
	return group.Wait()
}

// cursor is where the reading of one stream stands.
type cursor struct {
	from     int64
	limit    int
	wait     time.Duration
	failures int
}

// withFailure returns a cursor that asks for fewer records.
func (c cursor) withFailure() cursor {
	c.failures++
	c.limit = max(c.limit/2, 1)
	return c
}

// withPage returns a cursor after a page. Only a read from the end waits.
func (c cursor) withPage(page appender.Page) cursor {
	next := cursor{from: nextOf(page, c.from), limit: PageRecords}
	if next.from >= page.Next {
		next.wait = Wait
	}
	return next
}

// follow reads one stream. Its first read does not wait, so that a node learns at once that a stream is empty.
func (f *Follower) follow(ctx context.Context, stream modeler.Stream) error {
	at := cursor{from: 1, limit: PageRecords}
	for {
		askedAt := time.Now()
		page, err := f.reader.Read(ctx, stream, at.from, at.limit, at.wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		var rest time.Duration
		if err != nil {
			f.post(modeler.LogFailed{Stream: stream})
			at = at.withFailure()
			rest = backoff(at.failures)
		} else {
			f.post(eventOf(stream, page, at.from, askedAt))
			if at.wait > 0 && len(page.Records) == 0 {
				// A log that does not hold the read must not be asked without pause.
				rest = minBackoff - time.Since(askedAt)
			}
			at = at.withPage(page)
		}
		if err := pause(ctx, rest); err != nil {
			return err
		}
	}
}

// eventOf returns the event of a read. Records of an unknown kind stay in it, because their time tells what a gap may hide;
// systems skip their values.
func eventOf(stream modeler.Stream, page appender.Page, from int64, askedAt time.Time) modeler.RecordsRead {
	return modeler.RecordsRead{
		Stream: stream, Records: page.Records, AskedAt: askedAt,
		AtEnd: nextOf(page, from) >= page.Next, Skipped: page.First > from,
	}
}

// nextOf returns the offset of the next read.
func nextOf(page appender.Page, from int64) int64 {
	if n := len(page.Records); n > 0 {
		return page.Records[n-1].Offset + 1
	}
	return max(from, page.First)
}

// backoff doubles with each failure in a row and is spread over its upper half, so that nodes do not return together.
func backoff(failures int) time.Duration {
	limit := min(minBackoff<<min(failures-1, 10), maxBackoff)
	return limit/2 + rand.N(limit/2)
}

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
