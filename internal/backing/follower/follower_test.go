package follower

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/backing/appender"
	"damaskpick.example/damaskpick/internal/control/modeler"
)

// answer is the scripted result of one read, with the arguments that the read must have. A page without a next offset is a failure.
type answer struct {
	from  int64
	limit int
	wait  time.Duration
	page  appender.Page
}

// script returns answers in order and ends the follower after the last one.
type script struct {
	t       *testing.T
	answers []answer
	stop    context.CancelFunc
}

func (s *script) Read(ctx context.Context, _ modeler.Stream, from int64, limit int, wait time.Duration) (appender.Page, error) {
	if len(s.answers) == 0 {
		s.stop()
		return appender.Page{}, ctx.Err()
	}
	next := s.answers[0]
	s.answers = s.answers[1:]
	assert.Check(s.t, from == next.from && limit == next.limit && wait == next.wait, "read from %d limit %d wait %s", from, limit, wait)
	if next.page.Next == 0 {
		return next.page, errors.New("outage")
	}
	return next.page, nil
}

func page(first, next int64, records ...modeler.Record) appender.Page {
	return appender.Page{First: first, Next: next, Records: records}
}

func record(offset int64) modeler.Record {
	return modeler.Record{Offset: offset, Value: modeler.NodeDeparted{Node: "n"}}
}

func read(atEnd, skipped bool, records ...modeler.Record) modeler.Event {
	return modeler.RecordsRead{Stream: "s", Records: records, AtEnd: atEnd, Skipped: skipped}
}

// TestFollow guards against a follower that continues at a wrong offset, hides a gap or a record of a later version, or reports
// the end too early.
func TestFollow(t *testing.T) {
	later := modeler.Record{Offset: 2, Value: appender.Unknown{Kind: "Later"}}
	failure := modeler.LogFailed{Stream: "s"}
	cases := []struct {
		name    string
		answers []answer
		want    []modeler.Event
	}{
		{"empty, then a record", []answer{{1, 100, 0, page(1, 1)}, {1, 100, Wait, page(1, 2, record(1))}},
			[]modeler.Event{read(true, false), read(true, false, record(1))}},
		{"pages", []answer{{1, 100, 0, page(1, 4, record(1), record(2))}, {3, 100, 0, page(1, 4, record(3))}},
			[]modeler.Event{read(false, false, record(1), record(2)), read(true, false, record(3))}},
		{"gap", []answer{{1, 100, 0, page(8, 9, record(8))}}, []modeler.Event{read(true, true, record(8))}},
		{"gap without a record", []answer{{1, 100, 0, page(9, 9)}, {9, 100, Wait, page(9, 10, record(9))}},
			[]modeler.Event{read(true, true), read(true, false, record(9))}},
		{"unknown kind", []answer{{1, 100, 0, page(1, 3, record(1), later)}, {3, 100, Wait, page(1, 3)}},
			[]modeler.Event{read(true, false, record(1), later), read(true, false)}},
		{"smaller limit after failures until a page is read", []answer{
			{1, 100, 0, page(0, 0)}, {1, 50, 0, page(0, 0)}, {1, 25, 0, page(1, 3, record(1))}, {2, 100, 0, page(1, 3, record(2))},
		}, []modeler.Event{failure, failure, read(false, false, record(1)), read(true, false, record(2))}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			started := time.Now()
			var got []modeler.Event
			post := func(event modeler.Event) {
				if read, ok := event.(modeler.RecordsRead); ok {
					assert.Check(t, !read.AskedAt.Before(started))
					read.AskedAt = time.Time{}
					event = read
				}
				got = append(got, event)
			}
			reader := &script{t: t, answers: c.answers, stop: cancel}
			assert.ErrorIs(t, New(reader, []modeler.Stream{"s"}, post).Run(ctx), context.Canceled)
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestBackoff guards against a backoff that overflows, exceeds its bound or becomes zero.
func TestBackoff(t *testing.T) {
	cases := []struct {
		failures int
		limit    time.Duration
	}{{1, minBackoff}, {2, 2 * minBackoff}, {6, 32 * minBackoff}, {7, maxBackoff}, {1000, maxBackoff}}
	for _, c := range cases {
		got := backoff(c.failures)
		assert.Assert(t, got >= c.limit/2 && got < c.limit, "%d failures: %s", c.failures, got)
	}
}
