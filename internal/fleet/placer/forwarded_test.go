package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// TestDeputy guards against nodes that place requests locally, each on the same engines as the others, as soon as the coordinator does not
// respond, and against requests that wait for a node that does not respond either.
func TestDeputy(t *testing.T) {
	tests := []struct {
		name string
		self modeler.NodeID
		act  func(n *testNode) []modeler.Effect
		// asked is the node that is asked last; empty if the request is placed here.
		asked modeler.NodeID
	}{
		{"coordinator in time", "c", func(n *testNode) []modeler.Effect {
			return n.run(modeler.PlacementRequested{Request: request("r", "c")})
		}, "a"},
		{"coordinator silent", "c", func(n *testNode) []modeler.Effect {
			n.run(modeler.PlacementRequested{Request: request("r", "c")})
			n.now = n.now.Add(askTimeout)
			return n.run()
		}, "b"},
		{"another request while the coordinator is silent", "c", func(n *testNode) []modeler.Effect {
			n.world.CoordinatorUnresponsive = true
			return n.run(modeler.PlacementRequested{Request: request("r", "c")})
		}, "b"},
		{"deputy silent, too", "c", func(n *testNode) []modeler.Effect {
			n.run(modeler.PlacementRequested{Request: request("r", "c")})
			n.now = n.now.Add(askTimeout)
			n.run()
			n.now = n.now.Add(askTimeout)
			return n.run()
		}, ""},
		{"this node is the deputy", "b", func(n *testNode) []modeler.Effect {
			n.run(modeler.PlacementRequested{Request: request("r", "b")})
			n.now = n.now.Add(askTimeout)
			return n.run()
		}, ""},
		{"a new coordinator is asked at once", "c", func(n *testNode) []modeler.Effect {
			n.run(modeler.PlacementRequested{Request: request("r", "c")})
			n.world.Coordinator = "b"
			n.now = n.now.Add(time.Millisecond)
			return n.run()
		}, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newTestNode(tt.self, "a", 2)
			n.world.Self.Rank = modeler.Position(tt.self[0])
			for id, node := range n.world.Nodes.All() {
				n.world.Nodes.Put(id, node.WithRank(modeler.Position(id[0])))
			}
			all := tt.act(n)
			var asked modeler.NodeID
			for _, send := range effects[modeler.Send](all) {
				if _, ok := send.Message.Body.(modeler.Ask); ok {
					asked = send.To.ID
				}
			}
			assert.Equal(t, asked, tt.asked)
			assert.Equal(t, len(effects[modeler.Reply](all)) == 1, tt.asked == "")
		})
	}
}
