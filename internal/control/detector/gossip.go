package detector

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// gossip sends a digest and a VouchAsk to at most fanout peers, see choosePeers. While no peer is known, it sends them to a random
// seed.
func (s *System) gossip(tick *modeler.Tick, world *modeler.World) {
	s.beat++
	s.dropExpiredAsks(tick.Now)
	peers := s.knownPeers(tick, world)
	if len(peers) == 0 && len(s.opts.Seeds) > 0 {
		seed := s.opts.Seeds[tick.Rand.IntN(len(s.opts.Seeds))]
		tick.Send("", seed, s.digest(tick, world), s.newVouchAsk(tick))
		return
	}
	if len(peers) == 0 {
		return
	}
	digest := s.digest(tick, world)
	for _, peer := range choosePeers(tick, peers) {
		tick.Send(peer.ID, peer.Address, digest, s.newVouchAsk(tick))
	}
}

// knownPeers returns the known nodes other than this one that are not gone. It deletes unregistered nodes that are silent for longer
// than unregisteredTimeout.
func (s *System) knownPeers(tick *modeler.Tick, world *modeler.World) []modeler.Node {
	peers := make([]modeler.Node, 0, world.Nodes.Len())
	for id, node := range world.Nodes.All() {
		if id == world.Self.ID || node.Gone() {
			continue
		}
		if !node.Registered && tick.Now.Sub(node.LastSeenAt) > unregisteredTimeout {
			world.Nodes.Delete(id)
			continue
		}
		peers = append(peers, node)
	}
	return peers
}

// choosePeers returns at most fanout peers and reorders peers. The peer whose last liveness signal is the oldest comes first. Once
// its silence exceeds 4*FenceTimeout, a random peer replaces it three times out of four, so that several crashed nodes do not keep
// gossip from a node that has just become silent.
func choosePeers(tick *modeler.Tick, peers []modeler.Node) []modeler.Node {
	oldest := 0
	for i, p := range peers {
		if p.LastSeenAt.Before(peers[oldest].LastSeenAt) {
			oldest = i
		}
	}
	if tick.Now.Sub(peers[oldest].LastSeenAt) > 4*modeler.FenceTimeout && tick.Rand.IntN(4) > 0 {
		oldest = tick.Rand.IntN(len(peers))
	}
	peers[0], peers[oldest] = peers[oldest], peers[0]
	n := min(fanout, len(peers))
	for i := 1; i < n; i++ {
		j := i + tick.Rand.IntN(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:n]
}

// digest returns the digest of this gossip round. It lists at most maxDigestNodes of the nodes that are neither gone nor
// silent, chosen at random, with addresses only for unregistered nodes.
func (s *System) digest(tick *modeler.Tick, world *modeler.World) modeler.Digest {
	digest := modeler.Digest{Rules: world.Rules.Version, Leaving: world.Leaving, Beat: s.beat}
	nodes := make([]modeler.Node, 0, world.Nodes.Len())
	for id, node := range world.Nodes.All() {
		if id != world.Self.ID && !node.Gone() && node.Phase != modeler.NodeSilent {
			nodes = append(nodes, node)
		}
	}
	if len(nodes) > maxDigestNodes {
		for i := range maxDigestNodes {
			j := i + tick.Rand.IntN(len(nodes)-i)
			nodes[i], nodes[j] = nodes[j], nodes[i]
		}
		nodes = nodes[:maxDigestNodes]
	}
	for _, node := range nodes {
		entry := modeler.NodeDigest{
			Sender: modeler.Sender{ID: node.ID}, Beat: node.Beat, Leaving: node.Phase == modeler.NodeLeaving,
		}
		if !node.Registered {
			entry.Sender.Address, entry.Sender.PublicURL, entry.Sender.DataCentre = node.Address, node.PublicURL, node.DataCentre
		}
		digest.Nodes = append(digest.Nodes, entry)
	}
	s.opts.CompleteDigest(&digest)
	return digest
}

// receive records a liveness signal of the sender and handles the messages of its batch.
func (s *System) receive(tick *modeler.Tick, world *modeler.World, from modeler.Sender, messages []modeler.Message) {
	if from.ID == world.Self.ID || from.ID == "" {
		return
	}
	node, ok := world.Nodes.Get(from.ID)
	if !ok {
		node = modeler.Node{ID: from.ID}.WithSender(from)
	}
	world.Nodes.Put(from.ID, node.WithLastSeen(tick.Now))
	for _, message := range messages {
		switch m := message.(type) {
		case modeler.Digest:
			s.mergeDigest(tick.Now, world, from.ID, m)
		case modeler.VouchAsk:
			s.handleVouchAsk(tick, world, from, m)
		case modeler.Vouch:
			s.handleVouch(world, from.ID, m)
		case modeler.PromiseAsk:
			s.handlePromiseAsk(tick, world, from, m.Node)
		case modeler.Promise:
			s.handlePromise(world, from.ID, m)
		}
	}
}

// mergeDigest merges a digest into the Nodes table.
func (s *System) mergeDigest(now time.Time, world *modeler.World, from modeler.NodeID, digest modeler.Digest) {
	node, _ := world.Nodes.Get(from)
	node = node.WithBeat(digest.Beat, now)
	if digest.Leaving && node.Phase == modeler.NodeActive {
		node = node.WithPhase(modeler.NodeLeaving)
	}
	world.Nodes.Put(from, node)
	for _, entry := range digest.Nodes {
		id := entry.Sender.ID
		node, ok := world.Nodes.Get(id)
		if id == world.Self.ID || id == "" || (!ok && entry.Sender.Address == "") {
			continue
		}
		if !ok {
			node = modeler.Node{ID: id, LastSeenAt: now}.WithSender(entry.Sender)
		}
		updated := node.WithBeat(entry.Beat, now)
		if entry.Leaving && updated.Phase == modeler.NodeActive {
			updated = updated.WithPhase(modeler.NodeLeaving)
		}
		if !ok || updated != node {
			world.Nodes.Put(id, updated)
		}
	}
}

// silenceTimeout returns how long a node may send no liveness signal before it counts as silent. Gossip reaches each of about 24
// nodes within FenceTimeout; more nodes take proportionally longer.
func silenceTimeout(nodes int) time.Duration {
	return modeler.FenceTimeout * time.Duration(max(24, nodes)) / 24
}

// markSilent counts the nodes and marks those without a liveness signal for longer than silenceTimeout.
func (s *System) markSilent(tick *modeler.Tick, world *modeler.World) {
	s.nodeCount = 0
	for _, node := range world.Nodes.All() {
		if !node.Gone() {
			s.nodeCount++
		}
	}
	limit := silenceTimeout(s.nodeCount)
	for id, node := range world.Nodes.All() {
		if id == world.Self.ID || node.Gone() {
			continue
		}
		silent := tick.Now.Sub(node.LastSeenAt) > limit
		if silent && node.Phase != modeler.NodeSilent {
			world.Nodes.Put(id, node.WithPhase(modeler.NodeSilent))
		}
		if !silent {
			delete(s.silentSince, id)
		} else if _, ok := s.silentSince[id]; !ok {
			s.silentSince[id] = node.LastSeenAt
		}
	}
}
