package follower_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/follower"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// result is the scripted result of one store call.
type result struct {
	page modeler.Page
	err  error
}

// store returns scripted results and ends the follower after the last one.
type store struct {
	reads, lists []result
	from         []modeler.Position
	end          context.CancelFunc
}

func (s *store) Read(ctx context.Context, _ string, from modeler.Position, _ time.Duration) (modeler.Page, error) {
	s.from = append(s.from, from)
	return s.next(ctx, &s.reads)
}

func (s *store) Newest(ctx context.Context, _ string) (modeler.Page, error) {
	return s.next(ctx, &s.lists)
}

func (s *store) next(ctx context.Context, script *[]result) (modeler.Page, error) {
	if len(*script) == 0 {
		s.end()
		return modeler.Page{}, ctx.Err()
	}
	a := (*script)[0]
	*script = (*script)[1:]
	return a.page, a.err
}

func record(key string, offset modeler.Position) modeler.Record {
	return modeler.Record{Key: key, Value: []byte("v"), Offset: offset}
}

// TestRun guards against records that are skipped after an error or a deletion, and against an unreadable record that stops the follower.
func TestRun(t *testing.T) {
	busy := errors.New("busy")
	tests := []struct {
		name         string
		reads, lists []result
		from         []modeler.Position
		// want names the events in order.
		want []string
	}{
		{
			"lists, then reads",
			[]result{{page: modeler.Page{Next: 6, Records: []modeler.Record{record("b", 5)}}}},
			[]result{{page: modeler.Page{Next: 5, Records: []modeler.Record{record("a", 2)}}}},
			[]modeler.Position{5, 6}, []string{"a", "listed 1", "read 5", "b", "read 6"},
		},
		{
			"continues after a failed call", []result{{err: busy}, {page: modeler.Page{Next: 5}}}, []result{{page: modeler.Page{Next: 5}}},
			[]modeler.Position{5, 5, 5}, []string{"listed 0", "read 5", "failed", "read 5"},
		},
		{
			"lists again after records were deleted", []result{{err: modeler.TruncatedError{First: 9}}},
			[]result{{page: modeler.Page{Next: 5}}, {page: modeler.Page{Next: 9, Records: []modeler.Record{record("c", 8)}}}},
			[]modeler.Position{5, 9}, []string{"listed 0", "read 5", "c", "listed 1", "read 9"},
		},
		{
			"lists if the next record does not fit a page", []result{{page: modeler.Page{Next: 5, End: 6}}},
			[]result{{page: modeler.Page{Next: 5}}, {page: modeler.Page{Next: 6, Records: []modeler.Record{record("c", 5)}}}},
			[]modeler.Position{5, 6}, []string{"listed 0", "read 5", "c", "listed 1", "read 6"},
		},
		{
			"lists if the store has come back from a copy", []result{{page: modeler.Page{Next: modeler.NewPosition(1, 6), Records: []modeler.Record{record("b", modeler.NewPosition(1, 5))}, End: modeler.NewPosition(1, 6)}}},
			[]result{{page: modeler.Page{Next: 5, End: 5}}, {page: modeler.Page{Next: modeler.NewPosition(1, 6), End: modeler.NewPosition(1, 6), Records: []modeler.Record{record("a", 2), record("b", 5)}}}},
			[]modeler.Position{5, modeler.NewPosition(1, 6)}, []string{"listed 0", "read 5", "a", "b", "listed 2", "read 6"},
		},
		{
			"unreadable record", nil, []result{{page: modeler.Page{Next: 3, Records: []modeler.Record{record("bad", 1), record("a", 2)}}}},
			[]modeler.Position{3}, []string{"unreadable", "a", "listed 2", "read 3"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &store{reads: tt.reads, lists: tt.lists, end: cancel}
			var got []string
			source := follower.Source{
				Topic: modeler.Endpoints, Key: func(key string) (string, bool) { return key, true },
				Decode: func(r modeler.Record) (modeler.Event, error) {
					if r.Key == "bad" {
						return nil, errors.New("invalid record")
					}
					return modeler.EndpointRemoved{ID: modeler.EndpointID(r.Key)}, nil
				},
			}
			var f *follower.Follower
			next := modeler.Position(0)
			post := func(e modeler.Event) {
				if _, ok := e.(modeler.ListingBegan); ok {
					return
				}
				got = append(got, describe(e))
				switch e := e.(type) {
				case modeler.TopicRead:
					next = e.Next
					f.Fetch(modeler.Fetch{From: next})
				case modeler.TopicFailed:
					f.Fetch(modeler.Fetch{From: next})
				}
			}
			f = follower.New(s, source, post, func(modeler.Topic, modeler.Record, error) { got = append(got, "unreadable") })
			f.Fetch(modeler.Fetch{})
			assert.ErrorIs(t, f.Run(ctx), context.Canceled)
			assert.DeepEqual(t, got[:min(len(got), len(tt.want))], tt.want)
			// One more read may start while the context ends.
			assert.DeepEqual(t, s.from[:min(len(s.from), len(tt.from))], tt.from)
		})
	}
}

func describe(event modeler.Event) string {
	switch e := event.(type) {
	case modeler.EndpointRemoved:
		return string(e.ID)
	case modeler.TopicListed:
		return "listed " + string('0'+rune(len(e.Keys)))
	case modeler.TopicRead:
		return "read " + string('0'+rune(e.Next.Offset()))
	case modeler.ListingBegan:
		return "listing"
	case modeler.TopicFailed:
		return "failed"
	default:
		return "other"
	}
}

// silentStore blocks each call until its context ends.
type silentStore struct{ called chan struct{} }

func (s *silentStore) Read(ctx context.Context, _ string, _ modeler.Position, _ time.Duration) (modeler.Page, error) {
	return s.Newest(ctx, "")
}

func (s *silentStore) Newest(ctx context.Context, _ string) (modeler.Page, error) {
	close(s.called)
	<-ctx.Done()
	return modeler.Page{}, ctx.Err()
}

// TestDeliver guards against records from another node that are held up by a call to a store that does not respond.
func TestDeliver(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &silentStore{called: make(chan struct{})}
	var got []string
	var read modeler.TopicRead
	source := follower.Source{
		Topic: modeler.Operators, Key: func(key string) (string, bool) { return key, true },
		Decode: func(r modeler.Record) (modeler.Event, error) {
			return modeler.EndpointRemoved{ID: modeler.EndpointID(r.Key)}, nil
		},
	}
	post := func(e modeler.Event) {
		got = append(got, describe(e))
		if e, ok := e.(modeler.TopicRead); ok {
			read = e
			cancel()
		}
	}
	f := follower.New(s, source, post, nil)
	f.Fetch(modeler.Fetch{})
	go func() {
		<-s.called
		f.Deliver(modeler.Deliver{Page: modeler.Page{Records: []modeler.Record{record("a", 7)}, Next: 8}, ConfirmedAt: time.Unix(9, 0)})
	}()
	assert.ErrorIs(t, f.Run(ctx), context.Canceled)
	assert.DeepEqual(t, got[:4], []string{"listing", "a", "listed 1", "read 8"})
	assert.DeepEqual(t, read, modeler.TopicRead{
		Topic: modeler.Operators, Next: 8, ConfirmedAt: time.Unix(9, 0), Records: []modeler.Record{record("a", 7)}, Listed: true, FromPeer: true,
	})
}

// TestPartialRead guards against a node that takes its state for current although the response of the store held only a part of the records.
func TestPartialRead(t *testing.T) {
	tests := []struct {
		name      string
		end       modeler.Position
		confirmed bool
	}{
		{"part of the records", 9, false}, {"all records", 6, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &store{
				lists: []result{{page: modeler.Page{Next: 5, End: 5}}},
				reads: []result{{page: modeler.Page{Next: 6, End: tt.end, Records: []modeler.Record{record("b", 5)}}}}, end: cancel,
			}
			var reads []modeler.TopicRead
			var f *follower.Follower
			post := func(e modeler.Event) {
				if read, ok := e.(modeler.TopicRead); ok {
					reads = append(reads, read)
					f.Fetch(modeler.Fetch{From: read.Next})
				}
			}
			source := follower.Source{
				Topic: modeler.Endpoints, Key: func(key string) (string, bool) { return key, true },
				Decode: func(modeler.Record) (modeler.Event, error) { return nil, nil },
			}
			f = follower.New(s, source, post, nil)
			f.Fetch(modeler.Fetch{})
			assert.ErrorIs(t, f.Run(ctx), context.Canceled)
			assert.Equal(t, len(reads), 2)
			assert.Equal(t, !reads[1].ConfirmedAt.IsZero(), tt.confirmed)
			assert.Equal(t, reads[1].End, tt.end)
		})
	}
}
