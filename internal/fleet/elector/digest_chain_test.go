package elector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// lossBound is the time after the end of a node within which all other nodes notice it: contactMs and 3 s in the users' rule on the
	// directory, less the age of a snapshot.
	lossBound = 5500 * time.Millisecond
	// settleTime is the time after the start of a node from which on all other nodes must know it.
	settleTime = 3 * time.Second
	// restartTime is how long a node is off while it is restarted.
	restartTime = 600 * time.Millisecond
)

// handover describes restarts of nodes in the order of their ranks, so that each coordinator is replaced soon after its election.
type handover struct {
	name string
	// first is the time before the first restart, and gap the time between two restarts.
	first, gap time.Duration
	// killed is set if nodes end without announcing that they leave.
	killed bool
}

var handovers = []handover{
	{"no restart", time.Hour, time.Hour, false},
	{"restarts after 2.5 s", 2500 * time.Millisecond, 1300 * time.Millisecond, false},
	{"restarts at once", 0, 1300 * time.Millisecond, false},
	{"one restart a second", 2 * time.Second, time.Second, false},
	{"two restarts a second", 1500 * time.Millisecond, 500 * time.Millisecond, false},
	{"kills", time.Second, 1300 * time.Millisecond, true},
	{"slow kills", 2 * time.Second, 2200 * time.Millisecond, true},
}

// restartInTurn restarts the first count nodes for 20 s and calls visit after each step with the times at which nodes started.
func (f *fleet) restartInTurn(h handover, count int, visit func(since time.Duration, startedAt map[modeler.NodeID]time.Time)) {
	began, next := f.now, f.now.Add(h.first)
	startedAt, back := map[modeler.NodeID]time.Time{}, map[modeler.NodeID]time.Time{}
	for restarted := 0; f.now.Sub(began) < 20*time.Second; {
		if restarted < count && !f.now.Before(next) {
			id := name(restarted)
			if !h.killed {
				f.inbox[id] = append(f.inbox[id], modeler.LeaveRequested{})
				f.run(step)
			}
			f.dead[id], back[id] = true, f.now.Add(restartTime)
			restarted, next = restarted+1, next.Add(h.gap)
		}
		for id, at := range back {
			if !f.now.Before(at) {
				delete(back, id)
				f.start(id, modeler.Position(100+restarted), uint64(100+restarted))
				startedAt[id] = f.now
			}
		}
		f.run(step)
		visit(f.now.Sub(began), startedAt)
	}
}

// TestDeadNodeAcrossHandovers guards against a dead node that stays in the directory because each new coordinator repeats the report of the one
// before as if it had received a message from the node itself.
func TestDeadNodeAcrossHandovers(t *testing.T) {
	const size = 9
	for _, tt := range handovers {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(size)
			f.run(5 * time.Second)
			lost := name(size - 1)
			f.dead[lost] = true
			f.restartInTurn(tt, size-1, func(since time.Duration, _ map[modeler.NodeID]time.Time) {
				for id, world := range f.worlds {
					for _, node := range elector.Alive(world, f.now) {
						assert.Assert(t, f.dead[id] || node.ID != lost || since <= lossBound, "%s names %s after %s", id, lost, since)
					}
				}
			})
		})
	}
}

// TestLiveNodesAcrossHandovers guards against live nodes that are missing in the directory because the reports of them are too old when the
// coordinator changes.
func TestLiveNodesAcrossHandovers(t *testing.T) {
	for _, tt := range handovers {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(24)
			f.run(5 * time.Second)
			f.restartInTurn(tt, 9, func(since time.Duration, startedAt map[modeler.NodeID]time.Time) {
				calm := func(id modeler.NodeID) bool { return !f.dead[id] && f.now.Sub(startedAt[id]) > settleTime }
				for id, world := range f.worlds {
					if !calm(id) {
						continue
					}
					alive := map[modeler.NodeID]bool{}
					for _, node := range elector.Alive(world, f.now) {
						alive[node.ID] = true
					}
					for other := range f.worlds {
						assert.Assert(t, !calm(other) || alive[other], "%s does not name %s after %s", id, other, since)
					}
				}
			})
		})
	}
}
