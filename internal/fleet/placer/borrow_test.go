package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/lender"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// TestBorrowedRetries guards against repeats beyond what is lent, against retries that stay unused while other nodes need them, and against a
// refusal that keeps its caller from coming back. The load is that of a few nodes with many broken attempts: their own parts are used up, those of
// the others are not.
func TestBorrowedRetries(t *testing.T) {
	const window = 10 * time.Second
	newNode := func(coordinator modeler.NodeID) *testNode {
		n := newTestNode("a", coordinator, 4)
		n.system = New(Options{ColdFactor: 1.5, ColdSlack: 5, Lending: lender.Options{Slack: 40, Fraction: 0.25, Window: window}})
		return n
	}
	borrowing := func(id modeler.RequestID, node modeler.NodeID, service modeler.ServiceID) modeler.Request {
		r := request(id, node)
		r.Borrows, r.Service = true, service
		return r
	}

	t.Run("lent while there are any, then refused", func(t *testing.T) {
		n := newNode("a")
		granted, refused := 0, 0
		for i := range 20 {
			id := modeler.RequestID(rune('a' + i))
			r := borrowing(id, "b", "engines")
			r.Arrived, r.Due, r.Deadline = n.now, n.now.Add(time.Second), n.now.Add(10*time.Second)
			sent := bodies[modeler.Granted](n.run(peer("b", modeler.Ask{Request: r})))
			n.world.Unassign(id)
			n.now = n.now.Add(window / 20)
			if len(sent) == 0 {
				continue
			}
			if sent[0].Decision.Refused {
				assert.Equal(t, sent[0].Decision.Reason, modeler.ReasonBudget)
				assert.Assert(t, sent[0].Decision.RetryAfter > 0)
				refused++
				continue
			}
			granted++
		}
		assert.Assert(t, granted > 0 && granted <= 10, "%d lent in a window", granted)
		assert.Assert(t, refused > 0)
	})
	t.Run("a plain service asks the coordinator, too", func(t *testing.T) {
		n := newNode("b")
		asks := bodies[modeler.Ask](n.run(modeler.PlacementRequested{Request: borrowing("r", "a", "plain")}))
		assert.Equal(t, len(asks), 1)
		assert.Assert(t, asks[0].Request.Borrows)
	})
	t.Run("refused by a node that nobody answers", func(t *testing.T) {
		n := newNode("b")
		n.run(modeler.PlacementRequested{Request: borrowing("r", "a", "engines")})
		replies := make([]modeler.Reply, 0, 1)
		for range 100 {
			n.now = n.now.Add(10 * time.Millisecond)
			replies = append(replies, effects[modeler.Reply](n.run())...)
		}
		assert.Equal(t, len(replies), 1)
		assert.Assert(t, replies[0].Decision.Refused)
		assert.Equal(t, replies[0].Decision.Reason, modeler.ReasonBudget)
	})
}
