// Package ranker orders nodes per key by rendezvous hashing. Nodes that know the same peers compute the same order, and
// adding or removing a node moves only the keys for which that node ranks first.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Score returns the rendezvous hash of node for key.
func Score(key string, node modeler.NodeID) uint64 {
	return mix(xxhash.Sum64String(key) ^ mix(xxhash.Sum64String(string(node))))
}

// Rank returns the nodes in descending order of their score for key. It does not modify nodes.
func Rank(key string, nodes []modeler.NodeID) []modeler.NodeID {
	type scored struct {
		node  modeler.NodeID
		score uint64
	}
	list := make([]scored, len(nodes))
	for i, n := range nodes {
		list[i] = scored{n, Score(key, n)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	ranked := make([]modeler.NodeID, len(nodes))
	for i, s := range list {
		ranked[i] = s.node
	}
	return ranked
}

// Position returns the index of node in the result of Rank, without sorting the nodes.
func Position(key string, node modeler.NodeID, nodes []modeler.NodeID) int {
	ahead, own := 0, Score(key, node)
	for _, n := range nodes {
		if score := Score(key, n); score > own || (score == own && n < node) {
			ahead++
		}
	}
	return ahead
}

// Top returns the two nodes with the highest scores for key, highest first, or all nodes if there are fewer than two.
func Top(key string, nodes []modeler.NodeID) []modeler.NodeID {
	var top []modeler.NodeID
	var scores [2]uint64
	for _, n := range nodes {
		score := Score(key, n)
		switch {
		case len(top) == 0 || score > scores[0]:
			top = append([]modeler.NodeID{n}, top[:min(len(top), 1)]...)
			scores[1], scores[0] = scores[0], score
		case len(top) == 1:
			top, scores[1] = append(top, n), score
		case score > scores[1]:
			top[1], scores[1] = n, score
		}
	}
	return top
}

// mix is the finaliser of splitmix64. It distributes the exclusive or of two hashes over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
