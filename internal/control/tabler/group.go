package tabler

import (
	"cmp"
	"slices"
)

// Group maps each group to its keys, as a secondary index of a Table. It is not safe for concurrent use.
type Group[G cmp.Ordered, K cmp.Ordered] struct {
	// keys maps each group to its keys in ascending order. It has no entries for empty groups.
	keys map[G][]K
}

// NewGroup returns an empty index.
func NewGroup[G cmp.Ordered, K cmp.Ordered]() *Group[G, K] { return &Group[G, K]{keys: map[G][]K{}} }

// Add adds a key to a group, unless the group contains it already.
func (g *Group[G, K]) Add(group G, key K) {
	keys := g.keys[group]
	if at, found := slices.BinarySearch(keys, key); !found {
		g.keys[group] = slices.Insert(keys, at, key)
	}
}

// Remove removes a key from a group, if present.
func (g *Group[G, K]) Remove(group G, key K) {
	keys := g.keys[group]
	at, found := slices.BinarySearch(keys, key)
	if !found {
		return
	}
	if keys = slices.Delete(keys, at, at+1); len(keys) == 0 {
		delete(g.keys, group)
		return
	}
	g.keys[group] = keys
}

// Keys returns the keys of a group in ascending order. The result must not be modified and is valid until the next Add or Remove.
func (g *Group[G, K]) Keys(group G) []K { return g.keys[group] }

// Len returns the number of keys in a group.
func (g *Group[G, K]) Len(group G) int { return len(g.keys[group]) }
