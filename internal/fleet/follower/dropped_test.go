package follower

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// historyStore returns a listing and the records before its end.
type historyStore struct {
	listing, history modeler.Page
	// err is the result of the first read.
	err  error
	from []modeler.Position
}

func (s *historyStore) Newest(context.Context, string) (modeler.Page, error) { return s.listing, nil }

func (s *historyStore) Read(_ context.Context, _ string, from modeler.Position, _ time.Duration) (modeler.Page, error) {
	s.from = append(s.from, from)
	err := s.err
	s.err = nil
	return s.history, err
}

// TestDropped guards against a node that starts right after an outage of the store and does not learn of the endpoints whose entries have expired, and
// against ones that are named although their entry is there, was never seen, or whose entry was written again.
func TestDropped(t *testing.T) {
	wrote := func(key string, offset modeler.Position) modeler.Record {
		return modeler.Record{Key: key, Value: []byte("v"), Offset: offset}
	}
	removed := func(key string, offset modeler.Position) modeler.Record {
		return modeler.Record{Key: key, Offset: offset}
	}
	decode := func(r modeler.Record) (modeler.Event, error) {
		if r.Value == nil {
			return modeler.EndpointRemoved{ID: modeler.EndpointID(r.Key), Offset: r.Offset}, nil
		}
		return modeler.EndpointChanged{Endpoint: modeler.Endpoint{ID: modeler.EndpointID(r.Key)}, Offset: r.Offset}, nil
	}
	tests := []struct {
		name    string
		history []modeler.Record
		err     error
		// want maps the dropped endpoints to the offsets of their removals, from are the offsets that are read.
		want map[modeler.EndpointID]modeler.Position
		from []modeler.Position
	}{
		{"expired", []modeler.Record{wrote("a", 11), wrote("b", 12), removed("b", 13), removed("a", 14)}, nil, map[modeler.EndpointID]modeler.Position{"a": 14, "b": 13}, []modeler.Position{10}},
		{"has an entry", []modeler.Record{wrote("here", 11), removed("here", 12)}, nil, nil, []modeler.Position{10}},
		{"removed before the history", []modeler.Record{removed("a", 14)}, nil, nil, []modeler.Position{10}},
		{"removed twice", []modeler.Record{wrote("a", 11), removed("a", 12), wrote("a", 13), removed("a", 14)}, nil, map[modeler.EndpointID]modeler.Position{"a": 14}, []modeler.Position{10}},
		{"written again", []modeler.Record{wrote("a", 11), removed("a", 12), wrote("a", 13)}, nil, map[modeler.EndpointID]modeler.Position{"a": 12}, []modeler.Position{10}},
		{"a part of the history is deleted", []modeler.Record{wrote("a", 15), removed("a", 16)}, modeler.TruncatedError{First: 15}, map[modeler.EndpointID]modeler.Position{"a": 16}, []modeler.Position{10, 15}},
		{"the history cannot be read", []modeler.Record{wrote("a", 15), removed("a", 16)}, errors.New("busy"), nil, []modeler.Position{10}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &historyStore{
				listing: modeler.Page{Next: 20, Records: []modeler.Record{wrote("here", 11)}}, history: modeler.Page{Next: 20, Records: tt.history}, err: tt.err,
			}
			var got map[modeler.EndpointID]modeler.Position
			post := func(event modeler.Event) {
				if dropped, ok := event.(modeler.EndpointsDropped); ok {
					got = map[modeler.EndpointID]modeler.Position{}
					for _, entry := range dropped.Entries {
						got[entry.Endpoint.ID] = entry.Offset
					}
				}
			}
			f := New(store, Source{
				Topic: modeler.Endpoints, Decode: decode, History: 10, Key: func(key string) (string, bool) { return key, true },
			}, post, func(modeler.Topic, modeler.Record, error) {})
			assert.NilError(t, f.read(t.Context(), modeler.Fetch{}))
			assert.DeepEqual(t, got, tt.want)
			assert.DeepEqual(t, store.from, tt.from)
		})
	}
}

// TestHistoryStart guards against a history that is read from an earlier era of the store, because the topic is shorter than the history.
func TestHistoryStart(t *testing.T) {
	at := modeler.NewPosition
	tests := []struct{ end, want modeler.Position }{{20, 10}, {5, 0}, {at(2, 20), at(2, 10)}, {at(2, 5), at(2, 0)}}
	for _, tt := range tests {
		t.Run(tt.end.String(), func(t *testing.T) {
			store := &historyStore{listing: modeler.Page{Next: tt.end, End: tt.end}}
			f := New(store, Source{Topic: modeler.Endpoints, History: 10}, func(modeler.Event) {}, nil)
			assert.NilError(t, f.read(t.Context(), modeler.Fetch{}))
			assert.DeepEqual(t, store.from, []modeler.Position{tt.want})
		})
	}
}
