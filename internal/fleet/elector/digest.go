package elector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// A digest goes to all nodes, so that what it holds must not grow with the fleet: 300 nodes with all rows and the loads of 3,000 endpoints
// took 24 MB/s of the coordinator.
const (
	// introductions is the number of digests with the row of a node that started, since datagrams are lost.
	introductions = 3
	// maxIntroduced and turnRows bound the rows of such nodes, and those of all nodes in turn.
	maxIntroduced = 64
	turnRows      = 16
	// maxLoads bounds the endpoints whose load is told: a node that places alone avoids the busiest.
	maxLoads = 64
)

// digest returns what the coordinator tells all nodes.
func (s *System) digest(now time.Time, world *modeler.World) *modeler.Digest {
	alive := Alive(world, now)
	digest := &modeler.Digest{Alive: s.rows(alive)}
	for _, node := range alive {
		if node.Rank != modeler.UnregisteredRank {
			digest.AliveRanks = append(digest.AliveRanks, node.Rank)
		}
	}
	if s.loads != nil {
		digest.Loads = busiest(s.loads(now, world))
	}
	for fingerprint, strikes := range world.Strikes.All() {
		if strikes.Quarantined(now) {
			digest.Quarantined = append(digest.Quarantined, fingerprint)
		}
	}
	return digest
}

// rows picks the nodes whose rows are told: those that started or have no rank yet, and a part of the others in turn.
func (s *System) rows(alive []modeler.Node) []modeler.Node {
	var rows []modeler.Node
	present := make(map[uint64]int, len(alive))
	for _, node := range alive {
		told := s.introduced[node.Incarnation]
		if (told < introductions || node.Rank == modeler.UnregisteredRank) && len(rows) < maxIntroduced {
			rows, told = append(rows, node), told+1
		}
		present[node.Incarnation] = told
	}
	s.introduced = present
	introduced := len(rows)
	for i := range min(turnRows, len(alive)) {
		node := alive[(s.turn+i)%len(alive)]
		if !slices.ContainsFunc(rows[:introduced], func(n modeler.Node) bool { return n.ID == node.ID }) {
			rows = append(rows, node)
		}
	}
	s.turn += turnRows
	return rows
}

// busiest keeps the loads of the endpoints with the longest backlog, then the most requests.
func busiest(loads map[modeler.EndpointID]modeler.LoadSummary) map[modeler.EndpointID]modeler.LoadSummary {
	if len(loads) <= maxLoads {
		return loads
	}
	ids := slices.SortedFunc(maps.Keys(loads), func(a, b modeler.EndpointID) int {
		return cmp.Or(cmp.Compare(loads[b].Backlog, loads[a].Backlog), cmp.Compare(loads[b].Running, loads[a].Running), cmp.Compare(a, b))
	})
	kept := make(map[modeler.EndpointID]modeler.LoadSummary, maxLoads)
	for _, id := range ids[:maxLoads] {
		kept[id] = loads[id]
	}
	return kept
}

// report takes over which nodes the coordinator hears.
func (s *System) report(now time.Time, world *modeler.World, digest modeler.Digest) {
	for _, node := range digest.Alive {
		learn(world, node)
		if row, ok := world.Nodes.Get(node.ID); ok && row.Incarnation == node.Incarnation {
			world.Nodes.Put(node.ID, row.WithReported(now).WithLeaving(row.Leaving || node.Leaving))
		}
	}
	alive := make(map[int64]bool, len(digest.AliveRanks))
	for _, rank := range digest.AliveRanks {
		alive[rank] = true
	}
	for id, row := range world.Nodes.All() {
		if alive[row.Rank] {
			world.Nodes.Put(id, row.WithReported(now))
		}
	}
}
