package elector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// A digest is sent to all nodes, so its size must not grow with the fleet: with 300 nodes, digests that contained all nodes and the loads of
// 3,000 endpoints used 24 MB/s of the coordinator's bandwidth.
const (
	// announcements is the number of digests that contain a node after it has started. It is more than one because datagrams may be lost.
	announcements = 3
	// maxAnnounced is the maximum number of recently started or unregistered nodes in a digest.
	maxAnnounced = 64
	// rotationSize is the number of nodes that each digest adds in rotation from all live nodes.
	rotationSize = 16
	// maxLoads is the maximum number of endpoints whose load is in a digest. The busiest ones are sufficient: a node that places requests
	// without the coordinator has to avoid these.
	maxLoads = 64
	// maxSuspects is the maximum number of fingerprints in a digest for which requests are refused or broken ones are not sent again. maxRecentParts
	// and maxRecentRequests are those of shared parts and of requests for which nothing is refused yet. An engine that ends can break the attempts of
	// maxRecentRequests requests, most of which are sound.
	maxSuspects       = 16
	maxRecentParts    = 8
	maxRecentRequests = 24
	// reportRepeatTime is how long heartbeats repeat what this node has reported of broken attempts, in case the report was lost: four heartbeats.
	reportRepeatTime = time.Second
	// maxTerms is the maximum number of endpoints whose terms are in a digest. clearedTermsTime is how long it lists endpoints that no longer name a
	// limit: several digests.
	maxTerms         = 160
	clearedTermsTime = 5 * time.Second
)

// digest returns the digest that the coordinator sends to all nodes.
func (s *System) digest(now time.Time, world *modeler.World) *modeler.Digest {
	// Nodes that are only assumed to be alive are not reported.
	alive := slices.DeleteFunc(Alive(world, now), func(node modeler.Node) bool { return node.ID != world.Self.ID && !Live(node, now) })
	digest := &modeler.Digest{}
	for _, node := range s.digestNodes(alive) {
		digest.Alive = append(digest.Alive, modeler.ReportedNode{Node: node, Age: messageAge(now, world, node)})
	}
	for _, node := range alive {
		if node.Rank != modeler.UnregisteredRank {
			digest.AliveRanks = append(digest.AliveRanks, modeler.ReportedRank{Rank: node.Rank, Age: messageAge(now, world, node)})
		}
	}
	if s.loads != nil {
		digest.Loads = busiest(s.loads(now, world))
	}
	digest.Suspects, digest.SuspectsPartial = suspects(now, world)
	digest.Terms = reportedTerms(now, world)
	if s.costs != nil {
		digest.Costs = s.costs(now, world)
	}
	return digest
}

// messageAge returns the time since the last message from a node, which is zero for this node itself.
func messageAge(now time.Time, world *modeler.World, node modeler.Node) time.Duration {
	if node.ID == world.Self.ID {
		return 0
	}
	return now.Sub(node.AliveAt())
}

// reportedTerms returns the terms of endpoints that other nodes have to know, at most maxTerms: first the lowest limits, then those that are leaving.
func reportedTerms(now time.Time, world *modeler.World) []modeler.ReportedTerms {
	var list []modeler.ReportedTerms
	for id, terms := range world.Terms.All() {
		if terms.Limited || terms.Leaving || !terms.LimitAt.IsZero() && now.Sub(terms.LimitAt) < clearedTermsTime {
			list = append(list, terms.Report(id, now))
		}
	}
	slices.SortStableFunc(list, func(a, b modeler.ReportedTerms) int {
		return cmp.Or(-compareBool(a.Limited, b.Limited), -compareBool(a.Leaving, b.Leaving), cmp.Compare(a.Limit, b.Limit))
	})
	return list[:min(len(list), maxTerms)]
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// suspects returns the fingerprints that other nodes have to know, and whether it leaves out some for lack of room: first those that are quarantined
// for longest or have the highest count, then the others with the highest count, the latest first.
func suspects(now time.Time, world *modeler.World) (list []modeler.Suspect, partial bool) {
	var refused, parts, requests []modeler.Suspect
	for fingerprint, brokenAttempts := range world.BrokenAttempts.All() {
		suspect, ok := brokenAttempts.Suspect(fingerprint, now)
		switch {
		case ok:
			refused = append(refused, suspect)
		case !brokenAttempts.Recent(now):
		case suspect.SharedPart:
			parts = append(parts, suspect)
		default:
			requests = append(requests, suspect)
		}
	}
	for _, group := range []struct {
		suspects []modeler.Suspect
		limit    int
	}{{refused, maxSuspects}, {parts, maxRecentParts}, {requests, maxRecentRequests}} {
		partial = partial || len(group.suspects) > group.limit
		list = append(list, mostSuspect(group.suspects, group.limit)...)
	}
	return list, partial
}

// mostSuspect sorts a list and returns its first entries, at most limit.
func mostSuspect(list []modeler.Suspect, limit int) []modeler.Suspect {
	slices.SortStableFunc(list, func(a, b modeler.Suspect) int {
		return cmp.Or(cmp.Compare(b.QuarantinedFor, a.QuarantinedFor), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Age, b.Age))
	})
	return list[:min(len(list), limit)]
}

// reportedSuspects returns the fingerprints of the requests of which this node has reported a broken attempt within reportRepeatTime.
func reportedSuspects(now time.Time, world *modeler.World) []modeler.Suspect {
	var list []modeler.Suspect
	for fingerprint, brokenAttempts := range world.BrokenAttempts.All() {
		if !brokenAttempts.SharedPart && now.Sub(brokenAttempts.At) < reportRepeatTime && brokenAttempts.ReportedBy(world.Self.Incarnation) {
			suspect, _ := brokenAttempts.Suspect(fingerprint, now)
			list = append(list, suspect)
		}
	}
	return mostSuspect(list, maxRecentRequests)
}

// digestNodes returns the nodes that the next digest contains: those that started recently or are not registered yet, and some of the
// others in rotation.
func (s *System) digestNodes(alive []modeler.Node) []modeler.Node {
	var nodes []modeler.Node
	announced := make(map[uint64]int, len(alive))
	for _, node := range alive {
		count := s.announced[node.Incarnation]
		if (count < announcements || node.Rank == modeler.UnregisteredRank) && len(nodes) < maxAnnounced {
			nodes, count = append(nodes, node), count+1
		}
		announced[node.Incarnation] = count
	}
	s.announced = announced
	announcedCount := len(nodes)
	for i := range min(rotationSize, len(alive)) {
		node := alive[(s.nextAlive+i)%len(alive)]
		if !slices.ContainsFunc(nodes[:announcedCount], func(n modeler.Node) bool { return n.ID == node.ID }) {
			nodes = append(nodes, node)
		}
	}
	s.nextAlive += rotationSize
	return nodes
}

// busiest returns the loads of the maxLoads endpoints with the longest backlog or, for equal backlogs, the most running requests.
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

// applyDigest records the nodes that a digest reports as alive. A digest that may be from before a pause shows only that the nodes exist.
func (s *System) applyDigest(now time.Time, world *modeler.World, digest modeler.Digest) {
	stale := world.ReceivesStaleMessages(now)
	for _, report := range digest.Alive {
		mergeNode(world, report.Node)
		if known, ok := world.Nodes.Get(report.Node.ID); ok && known.Incarnation == report.Node.Incarnation {
			known = known.WithLeaving(known.Leaving || report.Node.Leaving)
			if !stale {
				known = known.WithReported(now.Add(-report.Age))
			}
			world.Nodes.Put(known.ID, known)
		}
	}
	if stale {
		return
	}
	ages := make(map[modeler.Position]time.Duration, len(digest.AliveRanks))
	for _, report := range digest.AliveRanks {
		ages[report.Rank] = report.Age
	}
	for id, known := range world.Nodes.All() {
		if age, ok := ages[known.Rank]; ok {
			world.Nodes.Put(id, known.WithReported(now.Add(-age)))
		}
	}
}
