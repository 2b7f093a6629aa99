package lender

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// TestReceiveTransfer guards against a transfer that is credited twice, or that is credited after the record of a reclaim or
// departure has already counted it elsewhere.
func TestReceiveTransfer(t *testing.T) {
	sent := func(from, to modeler.NodeID, seq uint64) modeler.Event {
		transfer := modeler.Transfer{ID: "t", Member: "m", From: from, To: to, Amount: 5, Seq: seq}
		return modeler.PeerReceived{From: modeler.Sender{ID: from}, Messages: []modeler.Message{modeler.TransferSent{Transfer: transfer}}}
	}
	const self, peer, other = modeler.NodeID("entry-000/1"), modeler.NodeID("entry-001/1"), modeler.NodeID("entry-009/1")
	cases := []struct {
		name   string
		change func(*System, *modeler.World)
		events []modeler.Event
		want   modeler.Tokens
	}{
		{"in any order", nil, []modeler.Event{sent(peer, self, 3), sent(peer, self, 1), sent(peer, self, 2)}, 15},
		{"repeated", nil, []modeler.Event{sent(peer, self, 2), sent(peer, self, 1), sent(peer, self, 2), sent(peer, self, 1)}, 10},
		{"for another incarnation", nil, []modeler.Event{sent(peer, "entry-000/0", 1)}, 0},
		{"from a node that is not registered", nil, []modeler.Event{sent(other, self, 1)}, 0},
		{"before this node is registered", func(_ *System, w *modeler.World) { w.Nodes.Delete(self) }, []modeler.Event{sent(peer, self, 1)}, 0},
		{"after the ledger was closed", func(s *System, _ *modeler.World) { s.Close(peer) }, []modeler.Event{sent(peer, self, 1)}, 0},
		{"after this node was drained", func(s *System, _ *modeler.World) { s.drained = true }, []modeler.Event{sent(peer, self, 1)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000, 0)
			s, world := newSystemAfterMint(3, 0, now)
			if c.change != nil {
				c.change(s, world)
			}
			s.Run(&modeler.Tick{Now: now, Rand: rand.New(rand.NewPCG(1, 1)), Events: c.events}, world)
			member, _ := world.Members.Get("m")
			assert.Equal(t, member.Balance, c.want)
		})
	}
}

// TestSettle guards against reclaimed balances that are used while one of the reclaimed nodes may still start new work or has running
// requests. node-b reclaimed node-a and was then reclaimed by this node.
func TestSettle(t *testing.T) {
	const self, a, b = modeler.NodeID("entry-000/1"), modeler.NodeID("node-a/1"), modeler.NodeID("node-b/1")
	now := time.Unix(1_000, 0)
	minted := func(version modeler.Version, amount modeler.Tokens) modeler.Minted {
		return modeler.Minted{Version: version, Base: version - 1, By: a, Changes: []modeler.Balance{{Member: "m", Amount: amount}}}
	}
	cases := []struct {
		name      string
		after     time.Duration
		running   modeler.NodeID
		reduction modeler.Tokens
		want      modeler.Member
	}{
		{"before ReclaimDelay has passed", modeler.ReclaimDelay - 1, "", 0, modeler.Member{ID: "m"}},
		{"requests of the node still running", modeler.ReclaimDelay, b, 0, modeler.Member{ID: "m"}},
		{"requests of a node that it reclaimed still running", modeler.ReclaimDelay, a, 0, modeler.Member{ID: "m"}},
		{"after the requests are cancelled", modeler.ReclaimDelay, "", 0, modeler.Member{ID: "m", Balance: 100}},
		{"frozen after a reduction", modeler.ReclaimDelay, a, -10, modeler.Member{ID: "m", Frozen: true, MintedVersion: 2}},
		{"unfrozen after the requests are cancelled", modeler.ReclaimDelay, "", -10, modeler.Member{ID: "m", Balance: 90, MintedVersion: 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, world := newSystemAfterMint(1, 0, now)
			s.opts.RequestsCancelled = func(node modeler.NodeID) bool { return node != c.running }
			s.accounts.version = 0
			records := []any{minted(1, 100), modeler.NodeReclaim{Node: a, By: b}, modeler.NodeReclaim{Node: b, By: self}}
			if c.reduction != 0 {
				records = slices.Insert(records, 1, any(minted(2, c.reduction)))
			}
			var events []modeler.Event
			for i, record := range records {
				events = append(events, modeler.RecordApplied{
					Record: modeler.Record{Offset: int64(2 + i), Value: record}, UsableAt: now.Add(modeler.ReclaimDelay),
				})
			}
			r := rand.New(rand.NewPCG(1, 1))
			s.Run(&modeler.Tick{Now: now, Rand: r, Events: events}, world)
			s.Run(&modeler.Tick{Now: now.Add(c.after), Rand: r}, world)
			member, _ := world.Members.Get("m")
			member.ID = "m"
			assert.DeepEqual(t, member, c.want)
		})
	}
}
