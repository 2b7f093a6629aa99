package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// noEffects is an Executor that ignores all effects.
type noEffects struct{}

func (noEffects) Execute([]modeler.Effect) {}

// fill puts rows into the table of the given kind.
func fill(world *modeler.World, kind string, rows int) {
	for i := range rows {
		switch kind {
		case "members":
			id := modeler.MemberID(fmt.Sprintf("team-%05d", i))
			world.Members.Put(id, modeler.Member{ID: id})
		case "nodes":
			id := modeler.NodeID(fmt.Sprintf("entry-%03d/1", i))
			world.Nodes.Put(id, modeler.Node{ID: id})
		case "endpoints":
			id := modeler.EndpointID(fmt.Sprintf("engine-%03d", i))
			world.Endpoints.Put(id, modeler.Endpoint{ID: id})
		case "requests":
			id := modeler.RequestID(fmt.Sprintf("request-%05d", i))
			world.Requests.Put(id, modeler.Request{ID: id})
		}
	}
}

// BenchmarkPublish measures the publication of a snapshot for several numbers of rows in each table. One row of the table changes
// between two snapshots.
func BenchmarkPublish(b *testing.B) {
	for _, c := range []struct {
		kind  string
		sizes []int
	}{
		{"members", []int{10, 570, 5_700}}, {"nodes", []int{9, 90, 330}},
		{"endpoints", []int{20, 200, 660}}, {"requests", []int{10, 100, 1_000}},
	} {
		for _, size := range c.sizes {
			b.Run(fmt.Sprintf("%s=%d", c.kind, size), func(b *testing.B) {
				world := modeler.NewWorld(modeler.Self{})
				fill(world, c.kind, size)
				now := time.Unix(1_000_000, 0)
				l := New(world, Options{Executor: noEffects{}, Now: func() time.Time { return now }})
				for b.Loop() {
					now = now.Add(snapshotInterval)
					fill(world, c.kind, 1)
					l.publish(now)
				}
			})
		}
	}
}

// BenchmarkTick measures a tick without systems for several numbers of events.
func BenchmarkTick(b *testing.B) {
	for _, events := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			l := New(modeler.NewWorld(modeler.Self{}), Options{Executor: noEffects{}, Now: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(1, 1))})
			for b.Loop() {
				for range events {
					_ = l.inbox.Put(context.Background(), envelope{event: modeler.StopRequested{}})
				}
				var batch []envelope
				if events > 0 {
					batch, _ = l.inbox.Take(context.Background(), nil)
				}
				l.tick(batch)
			}
		})
	}
}
