package lender

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

func memberID(i int) modeler.MemberID { return modeler.MemberID(fmt.Sprintf("team-%05d", i)) }

// newSystemAfterMint returns the lender of one of several nodes after it has minted a balance for every member and moved the idle
// ones to their preferred keepers.
func newSystemAfterMint(nodes, members int, now time.Time) (*System, *modeler.World) {
	s := New(Options{})
	self := modeler.NodeID("entry-000/1")
	world := modeler.NewWorld(modeler.Self{Sender: modeler.Sender{ID: self}})
	for i := range nodes {
		id := modeler.NodeID(fmt.Sprintf("entry-%03d/1", i))
		world.Nodes.Put(id, modeler.Node{ID: id, Registered: true})
	}
	minted := modeler.Minted{Version: 1, By: self}
	for i := range members {
		minted.Changes = append(minted.Changes, modeler.Balance{Member: memberID(i), Amount: 1_000_000})
	}
	tick := &modeler.Tick{Now: now, Rand: rand.New(rand.NewPCG(1, 1))}
	tick.Events = []modeler.Event{modeler.RecordApplied{Record: modeler.Record{Offset: 1, Value: minted}}}
	s.Run(tick, world)
	// The preferred keepers acknowledge the balances that were moved to them.
	moving := &modeler.Tick{Now: now.Add(2 * idleAfter), Rand: tick.Rand}
	s.Run(moving, world)
	acks := &modeler.Tick{Now: moving.Now, Rand: tick.Rand}
	for id, t := range world.Transfers.All() {
		acks.Events = append(acks.Events, modeler.PeerReceived{
			From: modeler.Sender{ID: t.To}, Messages: []modeler.Message{modeler.TransferAck{ID: id}},
		})
	}
	s.Run(acks, world)
	return s, world
}

// BenchmarkTick measures one tick, idle and with 10 changed members, for 9 to 330 nodes.
func BenchmarkTick(b *testing.B) {
	for _, nodes := range []int{9, 90, 330} {
		for _, changes := range []int{0, 10} {
			for _, members := range []int{10, 570, 5_700} {
				b.Run(fmt.Sprintf("nodes=%d/changes=%d/members=%d", nodes, changes, members), func(b *testing.B) {
					var before, after runtime.MemStats
					runtime.GC()
					runtime.ReadMemStats(&before)
					now := time.Unix(1_000_000, 0)
					s, world := newSystemAfterMint(nodes, members, now)
					runtime.GC()
					runtime.ReadMemStats(&after)
					now = now.Add(2 * idleAfter)
					r := rand.New(rand.NewPCG(1, 2))
					for b.Loop() {
						now = now.Add(time.Millisecond)
						for range changes {
							id := memberID(r.IntN(members))
							Charge(world, id, 10)
							Refund(world, id, 10)
						}
						s.Run(&modeler.Tick{Now: now, Rand: r}, world)
					}
					b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(members), "B/member")
				})
			}
		}
	}
}

// BenchmarkBorrow measures a request on a node without a balance of its member: the node borrows, and after idleAfter transfers the
// refunded balance to the preferred keepers. Lenders answer immediately.
func BenchmarkBorrow(b *testing.B) {
	for _, nodes := range []int{9, 90, 330} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			s, world := newSystemAfterMint(nodes, 1, now)
			id := memberID(0)
			r := rand.New(rand.NewPCG(1, 2))
			member, _ := world.Members.Get(id)
			member, _ = member.WithDebit(member.Free())
			world.Members.Put(id, member)
			now = now.Add(4 * idleAfter)
			seqs := map[modeler.NodeID]uint64{}
			messages, exchanges := 0, 0
			step := func(events ...modeler.Event) []modeler.Effect {
				tick := &modeler.Tick{Now: now, Rand: r, Events: events}
				s.Run(tick, world)
				for _, effect := range tick.Effects() {
					exchanges++
					messages += len(effect.(modeler.SendPeer).Messages)
				}
				return tick.Effects()
			}
			answer := func(effects []modeler.Effect) (events []modeler.Event) {
				for _, effect := range effects {
					e := effect.(modeler.SendPeer)
					answered := modeler.PeerAnswered{From: modeler.Sender{ID: e.To, Address: "a"}}
					for _, m := range e.Messages {
						switch m := m.(type) {
						case modeler.BorrowAsk:
							seqs[e.To]++
							answered.Messages = append(answered.Messages, modeler.TransferSent{Transfer: modeler.Transfer{
								ID: "t", Member: id, From: e.To, To: world.Self.ID, Amount: m.Amount, Seq: seqs[e.To],
							}})
						case modeler.TransferSent:
							answered.Messages = append(answered.Messages, modeler.TransferAck{ID: m.Transfer.ID})
						}
					}
					events = append(events, answered)
				}
				return events
			}
			for b.Loop() {
				SetWanted(world, id, 1_000)
				step(answer(step())...)
				Charge(world, id, 1_000)
				step()
				Refund(world, id, 1_000)
				step()
				now = now.Add(idleAfter)
				step(answer(step())...)
				now = now.Add(time.Second)
			}
			b.ReportMetric(float64(messages)/float64(b.N), "messages/borrow")
			b.ReportMetric(float64(exchanges)/float64(b.N), "exchanges/borrow")
		})
	}
}
