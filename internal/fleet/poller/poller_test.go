package poller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/applier"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/poller"
)

var start = time.Unix(1000, 0)

// node runs the applier and the poller of a node in the order of a tick.
type node struct {
	world   *modeler.World
	systems []modeler.System
	now     time.Time
}

// newNode returns a node that has read both topics up to offset 5 at start.
func newNode(id, coordinator modeler.NodeID) *node {
	n := &node{world: modeler.NewWorld(modeler.Node{ID: id}), systems: []modeler.System{applier.New(), poller.New()}, now: start}
	n.world.Coordinator = coordinator
	n.world.Nodes.Put("other", modeler.Node{ID: "other"}.WithLastSeen(start))
	n.run()
	n.read(5)
	return n
}

func (n *node) run(events ...modeler.Event) []modeler.Effect {
	tick := &modeler.Tick{Now: n.now, Events: events}
	for _, system := range n.systems {
		system.Run(tick, n.world)
	}
	return tick.Effects()
}

func (n *node) read(next modeler.Position) {
	n.run(
		modeler.TopicRead{Topic: modeler.Operators, Next: next, ConfirmedAt: n.now}, modeler.TopicRead{Topic: modeler.Endpoints, Next: next, ConfirmedAt: n.now},
	)
}

func beat(operators, endpoints modeler.ReadPosition) modeler.Event {
	return modeler.PeerReceived{Message: modeler.Message{From: "other", Body: modeler.Beat{ReadPositions: [2]modeler.ReadPosition{operators, endpoints}}}}
}

func fetches(effects []modeler.Effect) []modeler.Topic {
	var topics []modeler.Topic
	for _, effect := range effects {
		if fetch, ok := effect.(modeler.Fetch); ok {
			topics = append(topics, fetch.Topic)
		}
	}
	return topics
}

// TestFetch guards against nodes that read the store without need, and against a node that keeps using state that was not confirmed in time.
func TestFetch(t *testing.T) {
	current, old := modeler.ReadPosition{End: 5, LastChangeEnd: 5}, modeler.ReadPosition{End: 5, LastChangeEnd: 5, Age: 1100 * time.Millisecond}
	both := []modeler.Topic{modeler.Operators, modeler.Endpoints}
	tests := []struct {
		name        string
		coordinator modeler.NodeID
		isHub       bool
		after       time.Duration
		event       modeler.Event
		// delay is the time from the event to the tick whose effects are checked.
		delay time.Duration
		want  []modeler.Topic
	}{
		{"just confirmed", "other", true, time.Second, beat(current, current), 0, nil},
		{"not confirmed", "other", true, 1200 * time.Millisecond, nil, 0, both},
		{"not confirmed, hubs read first", "other", false, 1300 * time.Millisecond, nil, 0, nil},
		{"not confirmed, hubs did not read", "other", false, 1400 * time.Millisecond, nil, 0, both},
		{"confirmed by an old heartbeat", "other", true, 1200 * time.Millisecond, beat(old, old), 0, both},
		{"operators' records missing", "other", false, time.Second, beat(modeler.ReadPosition{End: 6, LastChangeEnd: 6}, current), 0, nil},
		{
			"operators' records still missing", "other", false, time.Second, beat(modeler.ReadPosition{End: 6, LastChangeEnd: 6}, current),
			300 * time.Millisecond, []modeler.Topic{modeler.Operators},
		},
		{"endpoint records missing", "other", true, time.Second, beat(current, modeler.ReadPosition{End: 9, LastChangeEnd: 7}), 0, []modeler.Topic{modeler.Endpoints}},
		{"records that change nothing", "other", true, time.Second, beat(current, modeler.ReadPosition{End: 9, LastChangeEnd: 5}), 0, nil},
		{"coordinates", "n", true, time.Second, nil, 0, both},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode("n", tt.coordinator)
			n.world.IsHub = tt.isHub
			n.now = start.Add(tt.after)
			var events []modeler.Event
			if tt.event != nil {
				events = append(events, tt.event)
			}
			effects := n.run(events...)
			if tt.delay > 0 {
				n.now = n.now.Add(tt.delay)
				effects = n.run()
			}
			assert.DeepEqual(t, fetches(effects), tt.want)
		})
	}
}

// TestBackoff guards against calls without a pause while the store rejects them, and against a read without a result that blocks further reads.
func TestBackoff(t *testing.T) {
	n := newNode("n", "n")
	n.now = n.now.Add(time.Second)
	assert.Equal(t, len(fetches(n.run())), 2)
	n.run(modeler.TopicFailed{Topic: modeler.Operators}, modeler.TopicFailed{Topic: modeler.Endpoints})
	calls := 0
	for range 100 {
		n.now = n.now.Add(50 * time.Millisecond)
		for _, topic := range fetches(n.run()) {
			calls++
			n.run(modeler.TopicFailed{Topic: topic})
		}
	}
	assert.Assert(t, calls >= 10 && calls <= 30, "%d calls in 5 s", calls)

	lost := newNode("n", "n")
	lost.now = lost.now.Add(time.Second)
	lost.run()
	lost.now = lost.now.Add(5 * time.Second)
	assert.Equal(t, len(fetches(lost.run())), 0)
	lost.now = lost.now.Add(2 * time.Second)
	assert.Equal(t, len(fetches(lost.run())), 2)
}

// TestEndpointChanges guards against changes of endpoints that other nodes miss because a message was lost, and against messages about entries
// that change nothing.
func TestEndpointChanges(t *testing.T) {
	entry := modeler.EndpointChanged{Endpoint: modeler.Endpoint{ID: "e", Service: "s", Address: "a"}, Offset: 5}
	coordinator := newNode("n", "n")
	effects := coordinator.run(entry, modeler.TopicRead{Topic: modeler.Endpoints, Next: 6, ConfirmedAt: start})
	var news modeler.EndpointChanges
	for _, effect := range effects {
		if send, ok := effect.(modeler.Send); ok {
			news, _ = send.Message.Body.(modeler.EndpointChanges)
		}
	}
	assert.Equal(t, news.From, modeler.Position(5))
	assert.Equal(t, news.Next, modeler.Position(6))
	assert.Equal(t, len(news.Changes), 1)
	again := coordinator.run(
		modeler.EndpointChanged{Endpoint: entry.Endpoint, Offset: 6}, modeler.TopicRead{Topic: modeler.Endpoints, Next: 7, ConfirmedAt: start},
	)
	for _, effect := range again {
		_, sent := effect.(modeler.Send)
		assert.Assert(t, !sent, "an entry that repeats the known state must not be sent")
	}

	message := modeler.PeerReceived{Message: modeler.Message{From: "other", Body: news}}
	follower := newNode("f", "other")
	follower.run(message)
	_, known := follower.world.Endpoints.Get("e")
	assert.Assert(t, known)
	assert.Equal(t, follower.world.NextOffsets[modeler.Endpoints], modeler.Position(6))

	missed := newNode("m", "other")
	afterGap := news
	afterGap.From, afterGap.Next = 8, 9
	missed.run(modeler.PeerReceived{Message: modeler.Message{From: "other", Body: afterGap}})
	assert.Equal(t, missed.world.NextOffsets[modeler.Endpoints], modeler.Position(5), "records between 5 and 8 are missing")
	missed.now = missed.now.Add(time.Second)
	behind := modeler.ReadPosition{End: 9, LastChangeEnd: 9}
	assert.DeepEqual(t, fetches(missed.run(beat(modeler.ReadPosition{End: 5, LastChangeEnd: 5}, behind))), []modeler.Topic{modeler.Endpoints})
}

// TestPartialRead guards against a node that waits for the end of its state's lifetime although the last response held only a part of the records.
func TestPartialRead(t *testing.T) {
	for _, topic := range []modeler.Topic{modeler.Operators, modeler.Endpoints} {
		t.Run(topic.String(), func(t *testing.T) {
			n := newNode("n", "other")
			n.run(modeler.TopicRead{Topic: topic, Next: 7, End: 9})
			assert.Equal(t, n.world.ConfirmedAt[topic], start)
			n.now = n.now.Add(300 * time.Millisecond)
			assert.DeepEqual(t, fetches(n.run()), []modeler.Topic{topic})
		})
	}
}

// TestReadsNewest guards against a node that reads each of many missing configurations in full, and is late with the last one.
func TestReadsNewest(t *testing.T) {
	position := func(end modeler.Position) modeler.ReadPosition {
		return modeler.ReadPosition{End: end, LastChangeEnd: end}
	}
	tests := []struct {
		name      string
		operators modeler.Position
		endpoints modeler.Position
		fails     bool
		want      modeler.Fetch
	}{
		{"one record is missing", 6, 5, false, modeler.Fetch{Topic: modeler.Operators, From: 5}},
		{"several are missing", 8, 5, false, modeler.Fetch{Topic: modeler.Operators, From: 5, Newest: true}},
		{"the last read has failed", 6, 5, true, modeler.Fetch{Topic: modeler.Operators, From: 5, Newest: true}},
		{"endpoints differ in each record", 5, 8, false, modeler.Fetch{Topic: modeler.Endpoints, From: 5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode("n", "other")
			events := []modeler.Event{beat(position(tt.operators), position(tt.endpoints))}
			if tt.fails {
				events = append(events, modeler.TopicFailed{Topic: modeler.Operators})
			}
			effects := n.run(events...)
			n.now = n.now.Add(300 * time.Millisecond)
			var got []modeler.Fetch
			for _, effect := range append(effects, n.run()...) {
				if fetch, ok := effect.(modeler.Fetch); ok {
					got = append(got, fetch)
				}
			}
			assert.DeepEqual(t, got, []modeler.Fetch{tt.want})
		})
	}
}

// TestBackoffWhileBehind guards against a node that pauses for seconds after a failed read although it lacks operators' records.
func TestBackoffWhileBehind(t *testing.T) {
	n := newNode("n", "other")
	n.run(beat(modeler.ReadPosition{End: 9, LastChangeEnd: 9}, modeler.ReadPosition{End: 5, LastChangeEnd: 5}))
	calls := 0
	for range 100 {
		n.now = n.now.Add(50 * time.Millisecond)
		for _, topic := range fetches(n.run()) {
			if topic == modeler.Operators {
				calls++
			}
			n.run(modeler.TopicFailed{Topic: topic})
		}
	}
	assert.Assert(t, calls >= 9 && calls <= 14, "%d calls in 5 s", calls)
}

// TestOperatorsBehind guards against a node that answers with an old configuration as if it were the newest one.
func TestOperatorsBehind(t *testing.T) {
	n := newNode("n", "other")
	assert.Assert(t, !n.world.OperatorsBehind)
	n.run(beat(modeler.ReadPosition{End: 7, LastChangeEnd: 7}, modeler.ReadPosition{End: 5, LastChangeEnd: 5}))
	assert.Assert(t, n.world.OperatorsBehind)
	n.run(modeler.TopicRead{Topic: modeler.Operators, Next: 7, End: 7, ConfirmedAt: start})
	assert.Assert(t, !n.world.OperatorsBehind)
}

// TestListedChanges guards against a node that keeps a deleted endpoint: the node that reads for all found it missing in a listing, and the changes that it
// sends then do not say so.
func TestListedChanges(t *testing.T) {
	tests := []struct {
		name   string
		listed bool
		want   modeler.Position
	}{
		{"read", false, 9}, {"listed", true, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reader, other := newNode("n", "n"), newNode("other", "n")
			changed := modeler.EndpointChanged{Endpoint: modeler.Endpoint{ID: "e"}, Offset: 8}
			events := []modeler.Event{changed}
			if tt.listed {
				events = append(events, modeler.TopicListed{Topic: modeler.Endpoints, Keys: map[string]bool{"e": true}, End: 9})
			}
			events = append(events, modeler.TopicRead{Topic: modeler.Endpoints, Next: 9, End: 9, ConfirmedAt: start, Listed: tt.listed})
			for _, effect := range reader.run(events...) {
				if send, ok := effect.(modeler.Send); ok {
					other.run(modeler.PeerReceived{Message: send.Message})
				}
			}
			_, known := other.world.Endpoints.Get("e")
			assert.Assert(t, known)
			assert.Equal(t, other.world.NextOffsets[modeler.Endpoints], tt.want)
		})
	}
}

// TestReadPositionsOfEras guards against a node that takes its state for current because another one names a later offset of an earlier era, or the same
// offset of a later one.
func TestReadPositionsOfEras(t *testing.T) {
	position := func(era, end int64) modeler.ReadPosition {
		return modeler.ReadPosition{End: modeler.NewPosition(era, end), LastChangeEnd: modeler.NewPosition(era, end)}
	}
	tests := []struct {
		name      string
		position  modeler.ReadPosition
		confirmed bool
	}{
		{"same era", position(2, 9), true}, {"earlier era, later offset", position(1, 30), false}, {"later era, same offset", position(3, 9), false},
		{"later era, earlier offset", position(3, 4), false},
	}
	for _, tt := range tests {
		for _, topic := range []modeler.Topic{modeler.Operators, modeler.Endpoints} {
			t.Run(tt.name+", "+topic.String(), func(t *testing.T) {
				n := newNode("n", "other")
				n.run(modeler.TopicRead{Topic: topic, Next: modeler.NewPosition(2, 9), ConfirmedAt: start})
				n.now = n.now.Add(time.Second)
				both := [2]modeler.ReadPosition{{End: 5, LastChangeEnd: 5}, {End: 5, LastChangeEnd: 5}}
				both[topic] = tt.position
				n.run(beat(both[0], both[1]))
				assert.Equal(t, n.world.ConfirmedAt[topic].After(start), tt.confirmed)
				assert.Equal(t, n.world.NextOffsets[topic], modeler.NewPosition(2, 9))
			})
		}
	}
}

// TestReadOfEarlierEra guards against a read that began before the store came back from a copy and confirms the state of after it.
func TestReadOfEarlierEra(t *testing.T) {
	n := newNode("n", "other")
	n.run(modeler.TopicRead{Topic: modeler.Operators, Next: modeler.NewPosition(2, 3), ConfirmedAt: start})
	later := start.Add(time.Second)
	n.run(modeler.TopicRead{Topic: modeler.Operators, Next: modeler.NewPosition(1, 30), End: modeler.NewPosition(1, 30), ConfirmedAt: later, Records: []modeler.Record{configuration(modeler.NewPosition(1, 29), 3)}})
	assert.Equal(t, n.world.ConfirmedAt[modeler.Operators], start)
	assert.Equal(t, n.world.NextOffsets[modeler.Operators], modeler.NewPosition(2, 3))
}

// TestCopiedChanges guards against the entries of a copy that are sent to other nodes as if their endpoints had just written them.
func TestCopiedChanges(t *testing.T) {
	at := modeler.NewPosition
	known := modeler.Endpoint{ID: "e", Service: "s", Address: "a"}
	copied := modeler.EndpointChanged{Endpoint: known, ColdFor: time.Second, Offset: at(2, 7)}
	tests := []struct {
		name   string
		before modeler.Event
		want   []modeler.EndpointChange
	}{
		{"the endpoint has left", modeler.EndpointRemoved{ID: "e", Offset: at(1, 30)}, nil},
		{
			"the endpoint drains", modeler.EndpointChanged{Endpoint: known.WithDraining(), Offset: at(1, 30)},
			[]modeler.EndpointChange{{Endpoint: known.WithDraining(), ColdFor: time.Second, Offset: at(2, 7)}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode("n", "n")
			n.run(tt.before, modeler.TopicRead{Topic: modeler.Endpoints, Next: at(1, 40), End: at(1, 40), ConfirmedAt: start})
			var got []modeler.EndpointChange
			for _, effect := range n.run(modeler.ListingBegan{Topic: modeler.Endpoints, End: at(2, 20)}, copied) {
				if send, ok := effect.(modeler.Send); ok {
					got = append(got, send.Message.Body.(modeler.EndpointChanges).Changes...)
				}
			}
			for i := range got {
				got[i].Endpoint.ChangeOffset, got[i].Endpoint.ColdUntil = 0, time.Time{}
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}
