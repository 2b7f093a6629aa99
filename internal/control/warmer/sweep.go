package warmer

import (
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// nodeEnd is the departure or reclaim of a node, as recorded in the control stream.
type nodeEnd struct {
	node   modeler.NodeID
	offset int64
	// fencedAt is when the node's fence is certainly closed. The next holders of its endpoints grant permits from then on.
	fencedAt time.Time
}

// maxNodeEnds bounds nodeEnds. Reclaims are settled within minutes; the target fleet has 118 node ends a day.
const maxNodeEnds = 1000

// recordSwept records that a held engine runs nothing of the nodes whose fence was closed when its report was taken, if no permit
// of a gone node is left.
func (s *System) recordSwept(world *modeler.World, r modeler.EndpointReported) {
	for _, p := range world.Permits.All() {
		if p.Endpoint == r.Endpoint && s.goneNodes[p.Node] {
			return
		}
	}
	swept := int64(0)
	for _, end := range s.nodeEnds {
		if end.fencedAt.After(r.TakenAt) {
			break
		}
		swept = end.offset
	}
	if e, ok := world.Endpoints.Get(r.Endpoint); ok && swept > e.SweptTo {
		world.Endpoints.Put(e.ID, e.WithSwept(swept))
	}
	if over := len(s.nodeEnds) - maxNodeEnds; over > 0 {
		s.nodeEnds = s.nodeEnds[over:]
	}
}

// RequestsCancelled reports whether no engine runs an attempt of an ended node any more, either because the holder of each engine says so or
// because the longest request is over. Only then may what the node held be used again.
func (s *System) RequestsCancelled(now time.Time, world *modeler.World, node modeler.NodeID) bool {
	i := slices.IndexFunc(s.nodeEnds, func(end nodeEnd) bool { return end.node == node })
	if i < 0 {
		return false
	}
	end := s.nodeEnds[i]
	if !now.Before(end.fencedAt.Add(s.options.RequestTimeout + permitMargin)) {
		return true
	}
	for _, e := range world.Endpoints.All() {
		if e.Kind == modeler.Engine && e.SweptTo < end.offset {
			return false
		}
	}
	return true
}
