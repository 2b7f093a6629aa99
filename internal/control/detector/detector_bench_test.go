package detector

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

type stubLedger struct{}

func (stubLedger) Close(modeler.NodeID) []modeler.Flow { return nil }
func (stubLedger) Drained() bool                       { return false }
func (stubLedger) NetFlows() []modeler.Balance         { return nil }

func nodeID(i int) modeler.NodeID { return modeler.NodeID(fmt.Sprintf("entry-%03d/018f3c2a", i)) }

// newRegisteredSystem returns the system of a registered node among the given number of nodes.
func newRegisteredSystem(nodes int, now time.Time) (*System, *modeler.World) {
	s := New(Options{Ledger: stubLedger{}})
	world := modeler.NewWorld(modeler.Self{Sender: modeler.Sender{ID: nodeID(0)}})
	records := make([]modeler.Record, 0, nodes)
	for i := range nodes {
		sender := modeler.Sender{ID: nodeID(i), Address: "10.0.0.1:7000", PublicURL: "https://10.0.0.1", DataCentre: "dc-1"}
		records = append(records, modeler.Record{Offset: int64(i + 1), Value: modeler.NodeRegistered{Node: sender}})
	}
	s.Run(&modeler.Tick{Now: now, Rand: rand.New(rand.NewPCG(1, 1)), Events: []modeler.Event{
		modeler.RecordsRead{Stream: modeler.StreamControl, Records: records, AskedAt: now, AtEnd: true},
	}}, world)
	return s, world
}

// BenchmarkRound measures one gossip round together with the six batches that arrive during it.
func BenchmarkRound(b *testing.B) {
	for _, nodes := range []int{9, 90, 330} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			now := time.Unix(1_000_000, 0)
			s, world := newRegisteredSystem(nodes, now)
			runtime.GC()
			runtime.ReadMemStats(&after)
			r := rand.New(rand.NewPCG(1, 2))
			messages, entries := 0, 0
			for b.Loop() {
				now = now.Add(modeler.GossipInterval)
				tick := &modeler.Tick{Now: now, Rand: r}
				for range 2 * fanout {
					digest := modeler.Digest{Beat: s.beat + 1}
					for range min(maxDigestNodes, nodes-1) {
						digest.Nodes = append(digest.Nodes, modeler.NodeDigest{
							Sender: modeler.Sender{ID: nodeID(1 + r.IntN(nodes-1))}, Beat: s.beat + 1,
						})
					}
					from := modeler.Sender{ID: nodeID(1 + r.IntN(nodes-1))}
					tick.Events = append(tick.Events, modeler.PeerReceived{From: from, Messages: []modeler.Message{digest, modeler.VouchAsk{}}})
				}
				s.Run(tick, world)
				for _, effect := range tick.Effects() {
					messages++
					for _, m := range effect.(modeler.SendPeer).Messages {
						if d, ok := m.(modeler.Digest); ok {
							entries += len(d.Nodes)
						}
					}
				}
			}
			rounds := float64(b.N) * modeler.GossipInterval.Seconds()
			b.ReportMetric(float64(messages)/rounds, "batches/s")
			b.ReportMetric(float64(entries)/rounds, "entries/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(nodes), "B/node")
		})
	}
}

// BenchmarkTick measures a tick between two gossip rounds, without events and with one batch of gossip.
func BenchmarkTick(b *testing.B) {
	for _, batches := range []int{0, 1} {
		for _, nodes := range []int{9, 90, 330} {
			b.Run(fmt.Sprintf("batches=%d/nodes=%d", batches, nodes), func(b *testing.B) {
				now := time.Unix(1_000_000, 0)
				s, world := newRegisteredSystem(nodes, now)
				tick := modeler.Tick{Now: now, Rand: rand.New(rand.NewPCG(1, 2))}
				digest := modeler.Digest{}
				for i := range min(maxDigestNodes, nodes-1) {
					digest.Nodes = append(digest.Nodes, modeler.NodeDigest{Sender: modeler.Sender{ID: nodeID(1 + i*(nodes-1)/maxDigestNodes)}})
				}
				for range batches {
					tick.Events = append(tick.Events, modeler.PeerReceived{
						From: modeler.Sender{ID: nodeID(1)}, Messages: []modeler.Message{digest, modeler.VouchAsk{}},
					})
				}
				for b.Loop() {
					run := tick
					s.Run(&run, world)
				}
			})
		}
	}
}

// BenchmarkSilent measures a round while a fifth of the nodes is silent, as after the loss of one of five data centres.
func BenchmarkSilent(b *testing.B) {
	for _, nodes := range []int{9, 90, 330} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			s, world := newRegisteredSystem(nodes, now)
			later := now.Add(2 * time.Minute)
			for i := range nodes {
				if i%5 != 1 {
					node, _ := world.Nodes.Get(nodeID(i))
					world.Nodes.Put(nodeID(i), node.WithLastSeen(later))
				}
			}
			r := rand.New(rand.NewPCG(1, 2))
			for b.Loop() {
				s.gossipAt = later
				// The clock does not advance, so the nonces would never expire.
				clear(s.asks)
				s.Run(&modeler.Tick{Now: later, Rand: r}, world)
			}
		})
	}
}
