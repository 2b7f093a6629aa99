package detector

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// gossip sends a digest and a question for a vouch to three peers: the one unheard of for longest and two at random.
func (s *System) gossip(tick *modeler.Tick, world *modeler.World) {
	s.beat++
	s.dropAsked(tick.Now)
	peers := s.peers(tick, world)
	if len(peers) == 0 && len(s.opts.Seeds) > 0 {
		seed := s.opts.Seeds[tick.Rand.IntN(len(s.opts.Seeds))]
		tick.Send("", seed, s.digest(tick, world), s.ask(tick))
		return
	}
	if len(peers) == 0 {
		return
	}
	digest := s.digest(tick, world)
	for _, peer := range choose(tick, peers) {
		tick.Send(peer.ID, peer.Address, digest, s.ask(tick))
	}
}

func (s *System) peers(tick *modeler.Tick, world *modeler.World) []modeler.Node {
	peers := make([]modeler.Node, 0, world.Nodes.Len())
	for id, node := range world.Nodes.All() {
		if id == world.Self.ID || node.Gone() {
			continue
		}
		if !node.Registered && tick.Now.Sub(node.LastSeenAt) > forgetAfter {
			world.Nodes.Delete(id)
			continue
		}
		peers = append(peers, node)
	}
	return peers
}

// choose moves the chosen peers to the front of peers. The longest silent one is left out three times of four once it is
// silent for long, so that several dead nodes do not hide a node that has just gone silent.
func choose(tick *modeler.Tick, peers []modeler.Node) []modeler.Node {
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

func (s *System) digest(tick *modeler.Tick, world *modeler.World) modeler.Digest {
	digest := modeler.Digest{Rules: world.Rules.Version, Leaving: world.Leaving, Beat: s.beat}
	nodes := make([]modeler.Node, 0, world.Nodes.Len())
	for id, node := range world.Nodes.All() {
		if id != world.Self.ID && !node.Gone() && node.Phase != modeler.NodeSilent {
			nodes = append(nodes, node)
		}
	}
	if len(nodes) > digestNodes {
		for i := range digestNodes {
			j := i + tick.Rand.IntN(len(nodes)-i)
			nodes[i], nodes[j] = nodes[j], nodes[i]
		}
		nodes = nodes[:digestNodes]
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
	s.opts.Fill(&digest)
	return digest
}

// receive handles the messages of one batch.
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
			s.learn(tick.Now, world, from.ID, m)
		case modeler.VouchAsk:
			s.answerVouch(tick, world, from, m)
		case modeler.Vouch:
			s.vouched(world, from.ID, m)
		case modeler.PromiseAsk:
			s.answerPromise(tick, world, from, m.Node)
		case modeler.Promise:
			s.promised(world, from.ID, m)
		}
	}
}

// learn merges a digest into the Nodes table.
func (s *System) learn(now time.Time, world *modeler.World, from modeler.NodeID, digest modeler.Digest) {
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

// silentAfter returns how long a node may be unheard of. Gossip reaches every node within FenceTimeout among about 24; more
// nodes take longer.
func silentAfter(nodes int) time.Duration {
	return modeler.FenceTimeout * time.Duration(max(24, nodes)) / 24
}

// review marks silent nodes.
func (s *System) review(tick *modeler.Tick, world *modeler.World) {
	s.count = 0
	for _, node := range world.Nodes.All() {
		if !node.Gone() {
			s.count++
		}
	}
	limit := silentAfter(s.count)
	for id, node := range world.Nodes.All() {
		if id == world.Self.ID || node.Gone() {
			continue
		}
		silent := tick.Now.Sub(node.LastSeenAt) > limit
		if silent && node.Phase != modeler.NodeSilent {
			world.Nodes.Put(id, node.WithPhase(modeler.NodeSilent))
		}
		if !silent {
			delete(s.silentFrom, id)
		} else if _, ok := s.silentFrom[id]; !ok {
			s.silentFrom[id] = node.LastSeenAt
		}
	}
}
