package applier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// returned is the time at which the node sees that the store has come back from a copy.
const returned = time.Second

// afterReturn returns the steps of a node that has read both topics up to offset 40 of era 1 and then lists one of them in era 2, where it ends at offset 20.
func afterReturn(topic modeler.Topic, before, listed []modeler.Event, keys map[string]bool, later ...step) []step {
	var steps []step
	for _, e := range before {
		steps = append(steps, step{0, e})
	}
	for _, t := range []modeler.Topic{modeler.Operators, modeler.Endpoints} {
		steps = append(steps, step{0, modeler.TopicRead{Topic: t, Next: at(1, 40), End: at(1, 40), ConfirmedAt: start}})
	}
	steps = append(steps, step{returned, modeler.StoreRestored{Era: 2}}, step{returned, modeler.ListingBegan{Topic: topic, End: at(2, 20)}})
	for _, e := range listed {
		steps = append(steps, step{returned, e})
	}
	steps = append(
		steps, step{returned, modeler.TopicListed{Topic: topic, Keys: keys, End: at(2, 20)}},
		step{returned, modeler.TopicRead{Topic: topic, Next: at(2, 20), End: at(2, 20), ConfirmedAt: start.Add(returned), Listed: true}},
	)
	return append(steps, later...)
}

// TestCopiedEntries guards against requests to endpoints that have left, drain or are cold, because the store has come back with entries of before, and
// against an endpoint that is left out for good because of such an entry.
func TestCopiedEntries(t *testing.T) {
	entry := func(position modeler.Position, born int64, draining bool, coldFor time.Duration) modeler.EndpointChanged {
		return modeler.EndpointChanged{Offset: position, ColdFor: coldFor, Endpoint: modeler.Endpoint{ID: "e", Service: "s", Address: "a", StartUnixMilli: born, Draining: draining}}
	}
	removed := func(position modeler.Position) modeler.EndpointRemoved {
		return modeler.EndpointRemoved{ID: "e", Offset: position}
	}
	const none, ready, draining, cold, restarted = "none", "ready", "draining", "cold", "restarted"
	soon, late := returned+100*time.Millisecond, returned+6*time.Second
	tests := []struct {
		name   string
		before []modeler.Event
		copied modeler.Event
		later  []step
		// want is the state of the endpoint directly after the listing, and after all later steps.
		want, wantLater string
	}{
		{"unchanged", []modeler.Event{entry(at(1, 7), 1, false, 0)}, entry(at(2, 7), 1, false, 0), nil, ready, ready},
		{"unknown before", nil, entry(at(2, 7), 1, false, 0), nil, ready, ready},
		{"drains since the copy", []modeler.Event{entry(at(1, 30), 1, true, 0)}, entry(at(2, 7), 1, false, 0), []step{{late, nil}}, draining, draining},
		{"began to drain after the return", []modeler.Event{entry(at(1, 30), 1, false, 0)}, entry(at(2, 19), 1, true, 0), nil, draining, draining},
		{"left since the copy", []modeler.Event{entry(at(1, 7), 1, false, 0), removed(at(1, 30))}, entry(at(2, 7), 1, false, 0), []step{{soon, nil}}, none, none},
		{
			"left since the copy, and its entry expires", []modeler.Event{entry(at(1, 7), 1, false, 0), removed(at(1, 30))}, entry(at(2, 7), 1, false, 0),
			[]step{{returned + 4*time.Second, removed(at(2, 20))}, {late, nil}}, none, none,
		},
		{
			"left since the copy, but its entry stays", []modeler.Event{entry(at(1, 7), 1, false, 0), removed(at(1, 30))}, entry(at(2, 7), 1, false, 0),
			[]step{{late, nil}}, none, ready,
		},
		{
			"left since the copy and is written again", []modeler.Event{entry(at(1, 7), 1, false, 0), removed(at(1, 30))}, entry(at(2, 7), 1, false, 0),
			[]step{{soon, entry(at(2, 20), 1, false, 0)}}, none, ready,
		},
		{
			"left before the copy was made, and came after the return", []modeler.Event{removed(at(1, 7))}, entry(at(2, 19), 1, false, 0), nil, ready, ready,
		},
		{"restarted since the copy", []modeler.Event{entry(at(1, 30), 2, false, 0)}, entry(at(2, 7), 1, false, 0), []step{{soon, nil}}, restarted, restarted},
		{
			"restarted since the copy and written again", []modeler.Event{entry(at(1, 30), 2, false, 0)}, entry(at(2, 7), 1, false, 0),
			[]step{{soon, entry(at(2, 20), 2, false, 0)}, {late, nil}}, restarted, restarted,
		},
		{"restarted after the return", []modeler.Event{entry(at(1, 30), 1, true, 0)}, entry(at(2, 19), 2, false, 0), nil, restarted, restarted},
		{"cold since the copy", []modeler.Event{entry(at(1, 30), 1, false, 10*time.Second)}, entry(at(2, 7), 1, false, 0), nil, cold, cold},
		{
			"left again after a second return", []modeler.Event{entry(at(1, 7), 1, false, 0), removed(at(1, 30))}, entry(at(2, 7), 1, false, 0),
			[]step{
				{late - time.Second, modeler.ListingBegan{Topic: modeler.Endpoints, End: at(3, 15)}}, {late - time.Second, entry(at(3, 7), 1, false, 0)},
				{late - time.Second, modeler.TopicListed{Topic: modeler.Endpoints, Keys: map[string]bool{"e": true}, End: at(3, 15)}}, {late, nil},
			}, none, none,
		},
	}
	state := func(world *modeler.World, after time.Duration) string {
		e, ok := world.Endpoints.Get("e")
		switch {
		case !ok:
			return none
		case e.Draining:
			return draining
		case e.Cold(start.Add(after)):
			return cold
		case e.StartUnixMilli == 2:
			return restarted
		default:
			return ready
		}
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			steps := afterReturn(modeler.Endpoints, tt.before, []modeler.Event{tt.copied}, map[string]bool{"e": true})
			assert.Equal(t, state(run(steps), returned), tt.want)
			assert.Equal(t, state(run(append(steps, tt.later...)), returned), tt.wantLater)
		})
	}
}

// TestCopiedDataCentres guards against a data centre that goes back into service, or out of it, because the store has come back from a copy, although the
// operators have not asked for it, and against one that stays so although they have.
func TestCopiedDataCentres(t *testing.T) {
	change := func(out bool, position modeler.Position) modeler.DataCentreChanged {
		return modeler.DataCentreChanged{DataCentre: "dc", Out: out, Offset: position}
	}
	soon, late := returned+100*time.Millisecond, returned+4*time.Second
	tests := []struct {
		name   string
		before []modeler.Event
		// copied is nil if the key is not listed.
		copied          modeler.Event
		later           []step
		want, wantLater bool
	}{
		{"out before the copy was made", []modeler.Event{change(true, at(1, 3))}, change(true, at(2, 3)), []step{{late, nil}}, true, true},
		{"taken out since the copy", []modeler.Event{change(true, at(1, 30))}, nil, []step{{soon, nil}}, true, true},
		{"taken out since the copy and not again", []modeler.Event{change(true, at(1, 30))}, nil, []step{{late, nil}}, true, false},
		{"taken out since the copy and written again", []modeler.Event{change(true, at(1, 30))}, nil, []step{{soon, change(true, at(2, 20))}, {late, nil}}, true, true},
		{
			"taken out since the copy and taken back after the return", []modeler.Event{change(true, at(1, 30))}, nil,
			[]step{{soon, change(true, at(2, 20))}, {soon, change(false, at(2, 21))}, {late, nil}}, true, false,
		},
		{"taken back since the copy", []modeler.Event{change(true, at(1, 3)), change(false, at(1, 30))}, change(true, at(2, 3)), []step{{soon, nil}}, false, false},
		{
			"taken back since the copy and written again", []modeler.Event{change(true, at(1, 3)), change(false, at(1, 30))}, change(true, at(2, 3)),
			[]step{{soon, change(false, at(2, 20))}, {late, nil}}, false, false,
		},
		{
			"taken back since the copy and not again", []modeler.Event{change(true, at(1, 3)), change(false, at(1, 30))}, change(true, at(2, 3)),
			[]step{{late, nil}}, false, true,
		},
		{"taken out after the return", []modeler.Event{change(true, at(1, 3)), change(false, at(1, 4))}, change(true, at(2, 19)), nil, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var listed []modeler.Event
			keys := map[string]bool{}
			if tt.copied != nil {
				listed, keys["dc"] = []modeler.Event{tt.copied}, true
			}
			steps := afterReturn(modeler.Operators, tt.before, listed, keys)
			_, out := run(steps).OutDataCentres.Get("dc")
			assert.Equal(t, out, tt.want)
			_, out = run(append(steps, tt.later...)).OutDataCentres.Get("dc")
			assert.Equal(t, out, tt.wantLater)
		})
	}
}
