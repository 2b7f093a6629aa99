package watcher_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/watcher"
)

// reportingNode is a node that sends reports of its attempts to the coordinator c.
type reportingNode struct {
	world  *modeler.World
	system *watcher.System
}

func newReportingNode(id modeler.NodeID, incarnation uint64) *reportingNode {
	n := &reportingNode{world: modeler.NewWorld(modeler.Node{ID: id, Incarnation: incarnation}), system: watcher.New()}
	n.world.Nodes.Put("c", modeler.Node{ID: "c"})
	n.world.Coordinator = "c"
	return n
}

// brokenAttempt returns the report of an attempt that was placed and broke at the given times after start.
func (n *reportingNode) brokenAttempt(a attemptSpan, fingerprint modeler.Fingerprint) modeler.Message {
	n.world.Assign(modeler.Assignment{
		Request: modeler.Request{ID: a.id, Node: n.world.Self.ID, Fingerprint: fingerprint}, Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: a.endpoint}},
		Placed: start.Add(a.placed),
	})
	tick := &modeler.Tick{Now: start.Add(a.ended), Events: []modeler.Event{modeler.AttemptEnded{ID: a.id, Outcome: modeler.Broken}}}
	n.system.Run(tick, n.world)
	for _, effect := range tick.Effects() {
		if send, ok := effect.(modeler.Send); ok {
			return send.Message
		}
	}
	panic("the node has sent no report")
}

// attemptSpan is an attempt of a node. arrivals are the times after ended at which its report arrives.
type attemptSpan struct {
	node          modeler.NodeID
	id            modeler.RequestID
	endpoint      modeler.EndpointID
	placed, ended time.Duration
	arrivals      []time.Duration
}

// TestReportsCountInAnyOrder guards against a count that depends on how long the reports of broken attempts are under way: attempts of one node that
// follow each other count however their reports arrive (BUDGET), and attempts that run at the same time count once (sound requests while a data centre fails).
func TestReportsCountInAnyOrder(t *testing.T) {
	const (
		us          = time.Microsecond
		ms          = time.Millisecond
		fingerprint = modeler.Fingerprint(7)
	)
	follows := func(first, second, third time.Duration) []attemptSpan {
		return []attemptSpan{
			{"m", "r/0/m", "e1", 0, 80 * ms, []time.Duration{first}},
			{"m", "r/1/m", "e2", 80 * ms, 150 * ms, []time.Duration{second}},
			{"m", "r/2/m", "e3", 150 * ms, 200 * ms, []time.Duration{third}},
		}
	}
	tests := []struct {
		name  string
		spans []attemptSpan
		want  int
	}{
		{"equal ways", follows(ms, ms, ms), 3},
		{"each report is faster than the one before", follows(1500*us, 1100*us, 700*us), 3},
		{"each report is slower than the one before", follows(700*us, 1100*us, 1500*us), 3},
		{"the first report comes last", follows(300*ms, ms, ms), 3},
		{"reports come in the opposite order", follows(300*ms, 200*ms, ms), 3},
		{"the first report comes much later", follows(2*time.Second, ms, ms), 3},
		{"reports come twice", []attemptSpan{
			{"m", "r/0/m", "e1", 0, 80 * ms, []time.Duration{ms, time.Second}}, {"m", "r/1/m", "e2", 80 * ms, 150 * ms, []time.Duration{ms, 2 * time.Second}},
		}, 2},
		{"requests of one node follow each other", []attemptSpan{
			{"m", "r/0/m", "e1", 0, 80 * ms, []time.Duration{1500 * us}}, {"m", "s/0/m", "e2", 80 * ms, 150 * ms, []time.Duration{ms}},
		}, 2},
		{"requests of two nodes follow each other", []attemptSpan{
			{"m", "r/0/m", "e1", 0, 80 * ms, []time.Duration{ms}}, {"o", "s/0/o", "e2", 120 * ms, 150 * ms, []time.Duration{ms}},
		}, 2},
		{"the report of the earlier node comes last", []attemptSpan{
			{"m", "r/0/m", "e1", 0, 80 * ms, []time.Duration{80 * ms}}, {"o", "s/0/o", "e2", 190 * ms, 240 * ms, []time.Duration{ms}},
		}, 2},
		{"requests of one node at the same time", []attemptSpan{
			{"m", "r/0/m", "e1", 0, 80 * ms, []time.Duration{ms}}, {"m", "s/0/m", "e2", 10 * ms, 85 * ms, []time.Duration{ms}},
			{"m", "q/0/m", "e3", 20 * ms, 90 * ms, []time.Duration{ms}},
		}, 1},
		{"requests of one node at the same time, with reports in the opposite order", []attemptSpan{
			{"m", "r/0/m", "e1", 0, 80 * ms, []time.Duration{90 * ms}}, {"m", "s/0/m", "e2", 10 * ms, 85 * ms, []time.Duration{50 * ms}},
			{"m", "q/0/m", "e3", 20 * ms, 90 * ms, []time.Duration{ms}},
		}, 1},
		{"requests of several nodes at the same time", []attemptSpan{
			{"m", "r/0/m", "e1", 0, 80 * ms, []time.Duration{ms}}, {"o", "s/0/o", "e2", 10 * ms, 85 * ms, []time.Duration{ms}},
			{"p", "q/0/p", "e3", 20 * ms, 90 * ms, []time.Duration{ms}},
		}, 1},
		{"first events take longer than the observation time", []attemptSpan{
			{"m", "r/0/m", "e1", 0, 2 * time.Second, []time.Duration{ms}}, {"o", "s/0/o", "e2", 700 * ms, 2700 * ms, []time.Duration{ms}},
			{"p", "q/0/p", "e3", 1400 * ms, 3400 * ms, []time.Duration{ms}},
		}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			type delivery struct {
				at      time.Duration
				message modeler.Message
			}
			nodes := map[modeler.NodeID]*reportingNode{}
			for i, id := range []modeler.NodeID{"m", "o", "p"} {
				nodes[id] = newReportingNode(id, uint64(i+1))
			}
			var deliveries []delivery
			for _, span := range tt.spans {
				message := nodes[span.node].brokenAttempt(span, fingerprint)
				for _, delay := range span.arrivals {
					deliveries = append(deliveries, delivery{span.ended + delay, message})
				}
			}
			slices.SortStableFunc(deliveries, func(a, b delivery) int { return int(a.at - b.at) })
			coordinator, system := modeler.NewWorld(modeler.Node{ID: "c"}), watcher.New()
			coordinator.Coordinator = "c"
			for _, d := range deliveries {
				system.Run(&modeler.Tick{Now: start.Add(d.at), Events: []modeler.Event{modeler.PeerReceived{Message: d.message}}}, coordinator)
			}
			got, _ := coordinator.BrokenAttempts.Get(fingerprint)
			assert.Equal(t, got.Count, tt.want)
			assert.Equal(t, got.Quarantines > 0, tt.want >= 3)
			assert.Check(t, !got.FirstAt.After(got.At))
		})
	}
}
