package elector_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// TestAliveInLargeFleet guards against nodes that stay unknown to most others because a digest does not contain all nodes, and against a
// restarted node that stays unknown.
func TestAliveInLargeFleet(t *testing.T) {
	const size = 100
	f := newFleet(size)
	f.run(12 * time.Second)
	for id, world := range f.worlds {
		assert.Equal(t, len(elector.Alive(world, f.now)), size, "%s", id)
	}
	f.dead["n50"] = true
	f.run(6 * time.Second)
	assert.Equal(t, len(elector.Alive(f.worlds["n99"], f.now)), size-1)
	f.start("n50", size, 2)
	f.run(3 * time.Second)
	assert.Equal(t, len(elector.Alive(f.worlds["n99"], f.now)), size)
	known, _ := f.worlds["n99"].Nodes.Get("n50")
	assert.Equal(t, known.Incarnation, uint64(2))
}

// TestDigestSize guards against a digest that grows with the fleet. It is sent to all nodes, and a datagram that is too large is not sent
// at all.
func TestDigestSize(t *testing.T) {
	tests := []struct{ nodes, endpoints, maxAlive, loads int }{
		{9, 16, 9, 16}, {86, 73, 80, 64}, {330, 660, 80, 64}, {1000, 10_000, 80, 64},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.nodes), func(t *testing.T) {
			now := time.Unix(1000, 0)
			world := modeler.NewWorld(modeler.Node{ID: "self"})
			world.Coordinator = "self"
			for i := range tt.nodes - 1 {
				node := modeler.Node{ID: name(i), Incarnation: uint64(i + 1), Rank: modeler.Position(i + 1)}
				world.Nodes.Put(node.ID, node.WithLastSeen(now))
			}
			loads := map[modeler.EndpointID]modeler.LoadSummary{}
			for i := range tt.endpoints {
				loads[modeler.EndpointID(fmt.Sprint(i))] = modeler.LoadSummary{Running: 1, Backlog: time.Duration(i)}
			}
			system := elector.New(func(time.Time, *modeler.World) map[modeler.EndpointID]modeler.LoadSummary { return loads })
			var digest modeler.Digest
			for range 4 {
				tick := &modeler.Tick{Now: now}
				system.Run(tick, world)
				for _, effect := range tick.Effects() {
					if send, ok := effect.(modeler.Send); ok {
						if body, ok := send.Message.Body.(modeler.Digest); ok && digest.Loads == nil {
							digest = body
						}
					}
				}
				now = now.Add(250 * time.Millisecond)
			}
			assert.Equal(t, len(digest.AliveRanks), tt.nodes)
			assert.Assert(t, len(digest.Alive) <= tt.maxAlive, "%d nodes", len(digest.Alive))
			assert.Equal(t, len(digest.Loads), tt.loads)
			if tt.endpoints > tt.loads {
				_, busiest := digest.Loads[modeler.EndpointID(fmt.Sprint(tt.endpoints-1))]
				assert.Assert(t, busiest)
			}
		})
	}
}

// TestDigestSender guards against the digest of an unknown sender, or of an earlier process of a node, which would revive dead nodes.
func TestDigestSender(t *testing.T) {
	tests := []struct {
		name        string
		from        modeler.NodeID
		incarnation uint64
		applied     bool
	}{
		{"known", "a", 2, true}, {"unknown node", "x", 2, false}, {"earlier process", "a", 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			world := modeler.NewWorld(modeler.Node{ID: "self", Rank: 9})
			world.Nodes.Put("a", modeler.Node{ID: "a", Incarnation: 2, Rank: 1}.WithLastSeen(now))
			world.Nodes.Put("b", modeler.Node{ID: "b", Incarnation: 3, Rank: 2})
			digest := modeler.Digest{AliveRanks: []modeler.ReportedRank{{Rank: 2}}, Alive: []modeler.ReportedNode{{Node: modeler.Node{ID: "c", Incarnation: 4, Rank: 3}}}}
			tick := &modeler.Tick{Now: now, Events: []modeler.Event{
				modeler.PeerReceived{Message: modeler.Message{From: tt.from, Incarnation: tt.incarnation, Body: digest}},
			}}
			elector.New(nil).Run(tick, world)
			b, _ := world.Nodes.Get("b")
			_, known := world.Nodes.Get("c")
			assert.Equal(t, elector.Live(b, now), tt.applied)
			assert.Equal(t, known, tt.applied)
		})
	}
}

// TestDigestSuspects guards against a quarantine that other nodes do not learn of, and against a digest that grows with the broken attempts.
func TestDigestSuspects(t *testing.T) {
	now := time.Unix(1000, 0)
	part := modeler.BrokenAttempts{}.WithBrokenAttempt(now).WithRequest(1, nil)
	suspected := part.WithBrokenAttempt(now).WithRequest(2, nil)
	requests := []modeler.Fingerprint{1, 2}
	tests := []struct {
		name string
		rows []modeler.BrokenAttempts
		want []modeler.Suspect
	}{
		{"part that broke once", []modeler.BrokenAttempts{part}, []modeler.Suspect{{Fingerprint: 1, Count: 1, SharedPart: true, Requests: requests[:1]}}},
		{"part that broke once some time ago", []modeler.BrokenAttempts{modeler.BrokenAttempts{}.WithBrokenAttempt(now.Add(-time.Minute)).WithRequest(1, nil)}, nil},
		{"part of two requests", []modeler.BrokenAttempts{suspected}, []modeler.Suspect{{Fingerprint: 1, Count: 2, SharedPart: true, Requests: requests}}},
		{
			"part of one request that broke twice", []modeler.BrokenAttempts{part.WithBrokenAttempt(now)},
			[]modeler.Suspect{{Fingerprint: 1, Count: 2, SharedPart: true, Requests: requests[:1]}},
		},
		{"many that broke once", slices.Repeat([]modeler.BrokenAttempts{modeler.BrokenAttempts{}.WithBrokenAttempt(now)}, 100), manyRecent(24)},
		{"many parts that broke once", slices.Repeat([]modeler.BrokenAttempts{part}, 100), manyOnce(8)},
		{
			"the last of many that broke once",
			append(slices.Repeat([]modeler.BrokenAttempts{modeler.BrokenAttempts{}.WithBrokenAttempt(now.Add(-time.Second))}, 24), modeler.BrokenAttempts{}.WithBrokenAttempt(now)),
			append([]modeler.Suspect{{Fingerprint: 25, Count: 1}}, withAge(manyRecent(23), time.Second)...),
		},
		{
			"request that broke once some time ago", []modeler.BrokenAttempts{modeler.BrokenAttempts{}.WithBrokenAttempt(now.Add(-50 * time.Second))},
			[]modeler.Suspect{{Fingerprint: 1, Count: 1, Age: 50 * time.Second}},
		},
		{"request that broke once long ago", []modeler.BrokenAttempts{modeler.BrokenAttempts{}.WithBrokenAttempt(now.Add(-time.Minute))}, nil},
		{
			"request whose quarantine has ended", []modeler.BrokenAttempts{modeler.BrokenAttempts{}.WithBrokenAttempt(now.Add(-5*time.Minute)).WithQuarantine(now.Add(-5*time.Minute), now.Add(-5*time.Minute), time.Minute, 2)},
			[]modeler.Suspect{{Fingerprint: 1, Count: 1, Age: 5 * time.Minute, Quarantines: 1}},
		},
		{
			"many that broke once beside parts of two requests",
			append(slices.Repeat([]modeler.BrokenAttempts{suspected}, 14), slices.Repeat([]modeler.BrokenAttempts{modeler.BrokenAttempts{}.WithBrokenAttempt(now)}, 9)...),
			append(manySuspects(14), manyRecent(23)[14:]...),
		},
		{"request that broke twice", []modeler.BrokenAttempts{{Count: 2}}, nil},
		{
			"quarantined request first", []modeler.BrokenAttempts{suspected, modeler.BrokenAttempts{}.WithQuarantine(now, now, time.Minute, 2)},
			[]modeler.Suspect{{Fingerprint: 2, QuarantinedFor: time.Minute, Quarantines: 1}, {Fingerprint: 1, Count: 2, SharedPart: true, Requests: requests}},
		},
		{"many parts", slices.Repeat([]modeler.BrokenAttempts{suspected}, 100), manySuspects(16)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "self"})
			world.Coordinator = "self"
			world.Nodes.Put("a", modeler.Node{ID: "a", Incarnation: 1, Rank: 1}.WithLastSeen(now))
			for i, row := range tt.rows {
				world.BrokenAttempts.Put(modeler.Fingerprint(i+1), row)
			}
			tick := &modeler.Tick{Now: now}
			elector.New(nil).Run(tick, world)
			var got []modeler.Suspect
			partial := false
			for _, effect := range tick.Effects() {
				if send, ok := effect.(modeler.Send); ok {
					if digest, ok := send.Message.Body.(modeler.Digest); ok {
						got, partial = digest.Suspects, digest.SuspectsPartial
					}
				}
			}
			assert.DeepEqual(t, got, tt.want)
			listable := 0
			for i, row := range tt.rows {
				if _, ok := row.Suspect(modeler.Fingerprint(i+1), now); ok || row.Recent(now) {
					listable++
				}
			}
			assert.Equal(t, partial, listable > len(got))
		})
	}
}

func manySuspects(count int) []modeler.Suspect {
	suspects := make([]modeler.Suspect, 0, count)
	for i := range count {
		suspects = append(suspects, modeler.Suspect{Fingerprint: modeler.Fingerprint(i + 1), Count: 2, SharedPart: true, Requests: []modeler.Fingerprint{1, 2}})
	}
	return suspects
}

// TestNewCoordinatorIsTold guards against a coordinator that has just started and places requests which the one before refused.
func TestNewCoordinatorIsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	beat := func(incarnation uint64) modeler.Event {
		node := modeler.Node{ID: "c", Incarnation: incarnation, Rank: 1}
		return modeler.PeerReceived{Message: modeler.Message{From: "c", Incarnation: incarnation, Body: modeler.Beat{Node: node, Coordinates: true}}}
	}
	tests := []struct {
		name string
		// later is the time between the election and the heartbeat that is looked at.
		later  time.Duration
		events []modeler.Event
		want   int
	}{
		{"just elected", 0, nil, 1},
		{"elected for some time", 3 * time.Second, []modeler.Event{beat(1)}, 0},
		{"restarted", 3 * time.Second, []modeler.Event{beat(2)}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "self", Rank: 2})
			world.BrokenAttempts.Put(1, modeler.BrokenAttempts{}.WithBrokenAttempt(now).WithRequest(1, nil).WithRequest(2, nil))
			system := elector.New(nil)
			var got int
			for _, tick := range []*modeler.Tick{{Now: now, Events: []modeler.Event{beat(1)}}, {Now: now.Add(tt.later), Events: tt.events}} {
				system.Run(tick, world)
				for _, effect := range tick.Effects() {
					if send, ok := effect.(modeler.Send); ok {
						got = len(send.Message.Body.(modeler.Beat).Suspects)
					}
				}
			}
			assert.Equal(t, world.Coordinator, modeler.NodeID("c"))
			assert.Equal(t, got, tt.want)
		})
	}
}

func manyRecent(count int) []modeler.Suspect {
	list := make([]modeler.Suspect, 0, count)
	for i := range count {
		list = append(list, modeler.Suspect{Fingerprint: modeler.Fingerprint(i + 1), Count: 1})
	}
	return list
}

// manyOnce returns the entries of shared parts that broke once.
func manyOnce(count int) []modeler.Suspect {
	list := manyRecent(count)
	for i := range list {
		list[i].SharedPart, list[i].Requests = true, []modeler.Fingerprint{1}
	}
	return list
}

func withAge(list []modeler.Suspect, age time.Duration) []modeler.Suspect {
	for i := range list {
		list[i].Age = age
	}
	return list
}

// TestDigestOnChange guards against nodes that go on placing a request by themselves for up to a second after it has broken, and against a digest with every
// heartbeat.
func TestDigestOnChange(t *testing.T) {
	now := time.Unix(1000, 0)
	world := modeler.NewWorld(modeler.Node{ID: "self"})
	world.Coordinator = "self"
	world.Nodes.Put("a", modeler.Node{ID: "a", Incarnation: 1, Rank: 1}.WithLastSeen(now.Add(time.Hour)))
	system := elector.New(nil)
	digests := func(d time.Duration) int {
		count := 0
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			tick := &modeler.Tick{Now: now}
			system.Run(tick, world)
			for _, effect := range tick.Effects() {
				if send, ok := effect.(modeler.Send); ok {
					if _, ok := send.Message.Body.(modeler.Digest); ok {
						count++
					}
				}
			}
		}
		return count
	}
	digests(3 * time.Second)
	assert.Check(t, digests(4*time.Second) <= 8, "a digest with every heartbeat")
	for range 5 {
		world.BrokenAttempts.Put(1, modeler.BrokenAttempts{}.WithBrokenAttempt(now))
		assert.Check(t, digests(300*time.Millisecond) >= 1, "no digest within 300 ms")
	}
}

// TestLostReport guards against a broken attempt that the coordinator never learns of because the datagram of its report was lost, and against heartbeats that stay long.
func TestLostReport(t *testing.T) {
	const process = 7
	now := time.Unix(1000, 0)
	tests := []struct {
		name string
		// process reported the attempt to this node, ago before the heartbeat.
		process uint64
		ago     time.Duration
		want    int
	}{
		{"of this node", process, 200 * time.Millisecond, 1},
		{"of this node, some time ago", process, 2 * time.Second, 0},
		{"of another node", process + 1, 200 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			world := modeler.NewWorld(modeler.Node{ID: "self", Incarnation: process, Rank: 2})
			world.Coordinator, world.CoordinatorSince = "c", now.Add(-time.Minute)
			world.Nodes.Put("c", modeler.Node{ID: "c", Incarnation: 1, Rank: 1}.WithLastSeen(now))
			at := now.Add(-tt.ago)
			attempt := modeler.NewBrokenAttempt(tt.process, modeler.Ended{ID: "r"}, at)
			world.BrokenAttempts.Put(1, modeler.BrokenAttempts{}.WithBrokenAttempt(at).WithReported(attempt, true))
			tick := &modeler.Tick{Now: now}
			elector.New(nil).Run(tick, world)
			beats := 0
			for _, effect := range tick.Effects() {
				if send, ok := effect.(modeler.Send); ok {
					beats++
					assert.Equal(t, len(send.Message.Body.(modeler.Beat).Suspects), tt.want)
				}
			}
			assert.Assert(t, beats > 0)
		})
	}
}

// TestDigestWithProbe guards against a probe that is placed before the other nodes know of it, and against heartbeats without end.
func TestDigestWithProbe(t *testing.T) {
	tests := []struct {
		name        string
		coordinator modeler.NodeID
		due         bool
		digests     int
	}{{"probe chosen", "self", true, 1}, {"none", "self", false, 0}, {"this node no longer coordinates", "a", true, 0}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			world := modeler.NewWorld(modeler.Node{ID: "self", Rank: 2})
			node := modeler.Node{ID: "a", Incarnation: 1, Rank: 3}
			if tt.coordinator == "a" {
				node.Rank = 1
			}
			world.Nodes.Put("a", node.WithLastSeen(now.Add(time.Hour)))
			system := elector.New(nil)
			system.Run(&modeler.Tick{Now: now}, world)
			assert.Equal(t, world.Coordinator, tt.coordinator)
			now = now.Add(10 * time.Millisecond)
			world.SuspectsDue = tt.due
			tick := &modeler.Tick{Now: now}
			system.Run(tick, world)
			digests := 0
			for _, effect := range tick.Effects() {
				if send, ok := effect.(modeler.Send); ok {
					if _, ok := send.Message.Body.(modeler.Digest); ok {
						digests++
					}
				}
			}
			assert.Equal(t, digests, tt.digests)
			assert.Equal(t, world.SuspectsSentAt.Equal(now), tt.digests > 0)
			assert.Assert(t, !world.SuspectsDue)
		})
	}
}
