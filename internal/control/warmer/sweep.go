package warmer

import (
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// goneNode is a node that left or was reclaimed.
type goneNode struct {
	node modeler.NodeID
	// offset is the offset of the record that removed the node.
	offset int64
	// fencedAt is the time from which the node is certainly fenced. The next holders of its endpoints grant permits from then on.
	fencedAt time.Time
}

// maxGoneNodes bounds System.goneInLogOrder. Reclaims are settled within minutes; a deployment of the target size loses 118 nodes a
// day.
const maxGoneNodes = 1000

// recordSwept records that a held engine runs no attempts of the gone nodes that were fenced when its report was taken, if no permit
// of a gone node is left.
func (s *System) recordSwept(world *modeler.World, r modeler.EndpointReported) {
	for _, p := range world.Permits.All() {
		if p.Endpoint == r.Endpoint && s.goneNodes[p.Node] {
			return
		}
	}
	swept := int64(0)
	for _, gone := range s.goneInLogOrder {
		if gone.fencedAt.After(r.TakenAt) {
			break
		}
		swept = gone.offset
	}
	if e, ok := world.Endpoints.Get(r.Endpoint); ok && swept > e.SweptTo {
		world.Endpoints.Put(e.ID, e.WithSwept(swept))
	}
	if over := len(s.goneInLogOrder) - maxGoneNodes; over > 0 {
		s.goneInLogOrder = s.goneInLogOrder[over:]
	}
}

// RequestsCancelled reports whether no engine runs an attempt of a gone node any more, either because the digests of each engine's
// holder say so or because RequestTimeout has passed since the node was fenced. Only then may the balances of the node be used again.
func (s *System) RequestsCancelled(now time.Time, world *modeler.World, node modeler.NodeID) bool {
	i := slices.IndexFunc(s.goneInLogOrder, func(gone goneNode) bool { return gone.node == node })
	if i < 0 {
		return false
	}
	gone := s.goneInLogOrder[i]
	if !now.Before(gone.fencedAt.Add(s.options.RequestTimeout + permitMargin)) {
		return true
	}
	for _, e := range world.Endpoints.All() {
		if e.Kind == modeler.Engine && e.SweptTo < gone.offset {
			return false
		}
	}
	return true
}
