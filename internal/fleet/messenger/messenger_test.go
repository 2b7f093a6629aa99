package messenger

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/applier"
	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/estimator"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/poller"
)

var now = time.Unix(1000, 0)

func request() modeler.Request {
	return modeler.Request{
		ID: "r/0/x", Node: "n", Service: "s", Kind: modeler.Stream, Prompt: 5000, Output: 900, Arrived: now.Add(-time.Second),
		Due: now.Add(-time.Millisecond), Deadline: now.Add(time.Minute), Gap: 250 * time.Millisecond, Priority: -1, Fingerprint: 1 << 63,
		Tried: []modeler.EndpointID{"e1", "e2"}, DataCentre: "dc", SharedParts: []modeler.Fingerprint{1 << 62, 3},
		RepeatsBroken: true, Borrows: true, Cost: estimator.Key{Group: 1 << 63, Subgroup: 2, Special: 3, Owner: 4},
	}
}

func node() modeler.Node {
	return modeler.Node{
		ID: "n", Incarnation: 1 << 62, Rank: modeler.UnregisteredRank, PeerAddress: "10.0.0.1:1", CallerAddress: "10.0.0.1:2", DataCentre: "dc",
		Region: "region", Leaving: true, MilliCores: 192,
	}
}

// TestRoundTrip guards against a field that is lost in encoding or decoding.
func TestRoundTrip(t *testing.T) {
	plan := modeler.Plan{
		Endpoint: modeler.Endpoint{ID: "e"}, Helpers: []modeler.Endpoint{{ID: "h1"}, {ID: "h2"}}, Reserved: []modeler.Tokens{700, 800}, PartPrefill: time.Second, TimeToFirstEvent: 2 * time.Second, Late: true,
	}
	assignment := modeler.Assignment{Request: request(), Plan: plan, Placed: now.Add(-time.Minute)}
	tests := []struct {
		name string
		body modeler.MessageBody
	}{
		{"ask", modeler.Ask{Request: request()}},
		{"queued", modeler.Queued{ID: "r"}},
		{"granted", modeler.Granted{ID: "r", Decision: modeler.Decision{Plan: plan}}},
		{"refused", modeler.Granted{ID: "r", Decision: modeler.Decision{
			Refused: true, Reason: modeler.ReasonOverloaded, RetryAfter: time.Second,
		}}},
		{"started", modeler.Started{ID: "r"}},
		{"ended", modeler.Ended{ID: "r", Endpoint: "e", Outcome: modeler.Garbled, Fingerprint: 1<<64 - 1}},
		{"ended with evidence", modeler.Ended{
			ID: "r", Endpoint: "e", Outcome: modeler.Broken, SharedParts: []modeler.Fingerprint{5, 1 << 63}, Age: time.Second, Survived: true,
			ProcessEndedAt: 90 * time.Minute, Succeeded: true, Tokens: 1310,
		}},
		{"beat", modeler.Beat{
			Node: node(), Coordinates: true, Running: []modeler.Assignment{assignment, assignment.WithFirstEvent(now)}, ReadPositions: [2]modeler.ReadPosition{{End: 4, LastChangeEnd: 3, Age: time.Second}, {End: 9}},
			ReadsForAll: true, Suspects: []modeler.Suspect{{Fingerprint: 3, Count: 2, SharedPart: true, Requests: []modeler.Fingerprint{1, 2}}},
			Terms: []modeler.ReportedTerms{{Endpoint: "e", Leaving: true}}, Holds: 1 << 63, HoldsVersion: 8, Part: modeler.RequestPart{Index: 1, Count: 3},
		}},
		{"endpoint changes", modeler.EndpointChanges{From: 3, Next: 9, Changes: []modeler.EndpointChange{
			{
				Endpoint: modeler.Endpoint{ID: "e", Service: "s", Address: "a", DataCentre: "dc", Slots: 6, Draining: true, StartUnixMilli: 7},
				ColdFor:  time.Second, Offset: 4,
			},
			{Endpoint: modeler.Endpoint{ID: "f"}, Offset: 5, Removed: true, Unreadable: true},
		}}},
		{"state piece", modeler.StatePiece{State: 1 << 63, Base: 7, Next: 9, Version: 8, Age: time.Second, Index: 2, Count: 3, Data: []byte("v")}},
		{"terms", modeler.TermsReport{Terms: []modeler.ReportedTerms{{Endpoint: "e", StartUnixMilli: 7, Limited: true, Limit: 2.5, Age: time.Second}}}},
		{"digest", modeler.Digest{
			SuspectsPartial: true,
			Terms:           []modeler.ReportedTerms{{Endpoint: "e", StartUnixMilli: 7, Limited: true, Age: time.Second}, {Endpoint: "f", Leaving: true}},
			Alive:           []modeler.ReportedNode{{Node: node(), Age: time.Second}}, AliveRanks: []modeler.ReportedRank{{Age: 7 * time.Millisecond}, {Rank: 1 << 40, Age: 2 * time.Second}}, Suspects: []modeler.Suspect{
				{Fingerprint: 9, Count: 3, QuarantinedFor: time.Minute, Quarantines: 2, Age: 5 * time.Second, Probe: modeler.ProbeReport{
					Quarantine: 2, Number: 3, ID: "r/0/a", State: modeler.ProbeBroke, Age: 7 * time.Second,
				}}, {Fingerprint: 1 << 63, Count: 2, SharedPart: true, Companions: []modeler.Fingerprint{4, 1 << 62}, Requests: []modeler.Fingerprint{6, 7}},
			},
			Loads: map[modeler.EndpointID]modeler.LoadSummary{"e": {Running: 3, Memory: 900, Backlog: time.Second, Gap: time.Millisecond, Work: time.Minute}},
			Costs: []modeler.CostSummary{{Group: 1 << 63, Subgroup: 7, Value: 30.5, Weight: 8}},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			message := modeler.Message{From: "n", Incarnation: 77, Body: tt.body}
			data, err := proto.Marshal(encode(now, message))
			assert.NilError(t, err)
			var d Datagram
			assert.NilError(t, proto.Unmarshal(data, &d))
			got, ok := decode(now, &d)
			assert.Assert(t, ok)
			assert.DeepEqual(t, got, message)
		})
	}
}

// TestLargeHeartbeats guards against a node that counts as dead because it serves so many requests that its heartbeat exceeds a datagram.
func TestLargeHeartbeats(t *testing.T) {
	tests := []struct{ running, messages int }{{0, 1}, {99, 1}, {400, 5}, {3000, 31}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.running), func(t *testing.T) {
			world := modeler.NewWorld(node())
			world.Nodes.Put("other", modeler.Node{ID: "other"}.WithLastSeen(now))
			world.Coordinator = "other"
			for i := range tt.running {
				r := request()
				r.ID = modeler.RequestID(fmt.Sprintf("3f7a01c95d2e4b%02x/%d/%d", i%256, i, i))
				world.Assign(modeler.Assignment{Request: r, Placed: now, Plan: modeler.Plan{
					Endpoint: modeler.Endpoint{ID: "i-3f7a01c95d"}, Helpers: []modeler.Endpoint{{ID: "i-3f7a01c95e"}, {ID: "i-3f7a01c95f"}},
				}})
			}
			tick := &modeler.Tick{Now: now}
			elector.New(nil).Run(tick, world)
			seen := map[modeler.RequestID]int{}
			messages := 0
			for _, effect := range tick.Effects() {
				send, ok := effect.(modeler.Send)
				if !ok {
					continue
				}
				body, ok := send.Message.Body.(modeler.Beat)
				if !ok {
					continue
				}
				messages++
				data, err := proto.Marshal(encode(now, send.Message))
				assert.NilError(t, err)
				assert.Assert(t, len(data) <= maxDatagram, "%d bytes", len(data))
				for _, a := range body.Running {
					assert.Assert(t, body.Part.Contains(a.Request.ID))
					seen[a.Request.ID]++
				}
			}
			assert.Equal(t, messages, tt.messages)
			assert.Equal(t, len(seen), tt.running)
		})
	}
}

// TestManyEndpointChanges guards against changes of endpoints that are never sent because together they exceed a datagram, and against a node that takes
// its endpoints for current although one of the messages was lost.
func TestManyEndpointChanges(t *testing.T) {
	tests := []struct{ changes, messages int }{{1, 1}, {200, 1}, {1000, 5}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.changes), func(t *testing.T) {
			send, receive := newEndpointNode("n", "n"), newEndpointNode("other", "n")
			var events []modeler.Event
			for i := range tt.changes {
				events = append(events, modeler.EndpointChanged{Offset: modeler.Position(5 + i), Endpoint: modeler.Endpoint{
					ID: modeler.EndpointID(fmt.Sprintf("i-3f7a01c9%04x", i)), Service: "service-of-engines", Address: "10.200.100.100:12345",
					DataCentre: "data-centre-a", Slots: 16, StartUnixMilli: 1 << 41,
				}})
			}
			end := modeler.Position(5 + tt.changes)
			effects := send.run(append(events, modeler.TopicRead{Topic: modeler.Endpoints, Next: end, End: end, ConfirmedAt: now})...)
			var messages []modeler.Message
			for _, effect := range effects {
				if s, ok := effect.(modeler.Send); ok {
					data, err := proto.Marshal(encode(now, s.Message))
					assert.NilError(t, err)
					assert.Assert(t, len(data) <= maxDatagram, "%d bytes", len(data))
					messages = append(messages, s.Message)
				}
			}
			assert.Equal(t, len(messages), tt.messages)
			for _, message := range messages[1:] {
				receive.run(modeler.PeerReceived{Message: message})
			}
			assert.Equal(t, receive.world.NextOffsets[modeler.Endpoints], modeler.Position(5), "the first message was lost")
			for _, message := range messages {
				receive.run(modeler.PeerReceived{Message: message})
			}
			assert.Equal(t, receive.world.NextOffsets[modeler.Endpoints], end)
			assert.Equal(t, receive.world.Endpoints.Len(), tt.changes)
		})
	}
}

// endpointNode applies and sends changes of endpoints.
type endpointNode struct {
	world   *modeler.World
	systems []modeler.System
}

// newEndpointNode returns a node that has read the endpoints up to offset 5.
func newEndpointNode(id, coordinator modeler.NodeID) *endpointNode {
	n := &endpointNode{world: modeler.NewWorld(modeler.Node{ID: id}), systems: []modeler.System{applier.New(), poller.New()}}
	n.world.Coordinator = coordinator
	n.world.Nodes.Put("peer", modeler.Node{ID: "peer"}.WithLastSeen(now))
	n.run(modeler.TopicRead{Topic: modeler.Endpoints, Next: 5, End: 5, ConfirmedAt: now})
	return n
}

func (n *endpointNode) run(events ...modeler.Event) []modeler.Effect {
	tick := &modeler.Tick{Now: now, Events: events}
	for _, system := range n.systems {
		system.Run(tick, n.world)
	}
	return tick.Effects()
}

// TestEarlierVersion guards against offsets of nodes of the version before that are taken for positions, while the nodes are replaced one after the other.
func TestEarlierVersion(t *testing.T) {
	number := func(field protowire.Number, value uint64) []byte {
		return protowire.AppendVarint(protowire.AppendTag(nil, field, protowire.VarintType), value)
	}
	part := func(field protowire.Number, content []byte) []byte {
		return protowire.AppendBytes(protowire.AppendTag(nil, field, protowire.BytesType), content)
	}
	tests := []struct {
		name  string
		data  []byte
		known bool
	}{
		{"changes of endpoints", part(10, number(2, 9)), false}, {"state in one datagram", part(11, number(1, 9)), false}, {"heartbeat", part(8, part(4, number(1, 9))), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d Datagram
			assert.NilError(t, proto.Unmarshal(tt.data, &d))
			message, ok := decode(now, &d)
			assert.Equal(t, ok, tt.known)
			if tt.known {
				assert.DeepEqual(t, message.Body.(modeler.Beat).ReadPositions, [2]modeler.ReadPosition{{Age: math.MaxInt64}, {Age: math.MaxInt64}})
			}
		})
	}
}

// FuzzDecode guards against a datagram that makes a node panic.
func FuzzDecode(f *testing.F) {
	data, err := proto.Marshal(encode(now, modeler.Message{From: "n", Body: modeler.Ask{Request: request()}}))
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var d Datagram
		if proto.Unmarshal(data, &d) == nil {
			decode(now, &d)
		}
	})
}

// TestSendAndReceive guards against messages that are not delivered, and against a receiver that stops after a datagram that it cannot decode.
func TestSendAndReceive(t *testing.T) {
	a, closeA, err := New("127.0.0.1:0")
	assert.NilError(t, err)
	b, closeB, err := New("127.0.0.1:0")
	assert.NilError(t, err)
	got := make(chan modeler.Message, 10)
	done := make(chan error, 1)
	go func() { done <- b.Receive(func(m modeler.Message) { got <- m }) }()
	to := modeler.Node{ID: "b", PeerAddress: b.conn.LocalAddr().String()}
	_, err = a.conn.WriteToUDPAddrPort([]byte("not a message"), netip.MustParseAddrPort(b.conn.LocalAddr().String()))
	assert.NilError(t, err)
	assert.NilError(t, a.Send(to, modeler.Message{From: "a", Body: modeler.Queued{ID: "r"}}))
	message := <-got
	assert.DeepEqual(t, message, modeler.Message{From: "a", Body: modeler.Queued{ID: "r"}})
	assert.Equal(t, b.Failed(), int64(1))
	assert.ErrorContains(t, a.Send(modeler.Node{ID: "c", PeerAddress: "nowhere"}, modeler.Message{}), "peer address")
	assert.NilError(t, closeA())
	assert.NilError(t, closeB())
	assert.NilError(t, <-done)
}

// TestProbeOfEarlierVersion guards against a node that places one more probe because the one that knows of the last is of an earlier version, during an update.
func TestProbeOfEarlierVersion(t *testing.T) {
	broke := modeler.ProbeReport{Quarantine: 1, Number: 1, State: modeler.ProbeBroke}
	tests := []struct {
		name  string
		state modeler.ProbeState
		// old is set if the suspect comes from an earlier version, which states only whether the probe broke.
		old  bool
		want modeler.ProbeReport
	}{
		{"from it, broke", modeler.ProbeBroke, true, broke}, {"from it, placed", modeler.ProbePlaced, true, modeler.ProbeReport{}},
		{"from this version", modeler.ProbePlaced, false, modeler.ProbeReport{Quarantine: 1, Number: 1, State: modeler.ProbePlaced}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			encoded := encodeSuspects([]modeler.Suspect{{Probe: modeler.ProbeReport{Quarantine: 1, Number: 1, State: tt.state}}})
			assert.Equal(t, encoded[0].GetConfirmed(), tt.state == modeler.ProbeBroke)
			if tt.old {
				encoded[0].Probe = nil
			}
			assert.DeepEqual(t, decodeSuspects(encoded)[0].Probe, tt.want)
		})
	}
}
