package tabler

import (
	"cmp"
	"slices"
)

// Group holds the keys that belong to each group, as an index of a Table. It is not safe for concurrent use.
type Group[G cmp.Ordered, K cmp.Ordered] struct {
	// keys is sorted within each group. No group is empty.
	keys map[G][]K
}

// NewGroup returns an empty index.
func NewGroup[G cmp.Ordered, K cmp.Ordered]() *Group[G, K] { return &Group[G, K]{keys: map[G][]K{}} }

// Add puts a key into a group.
func (g *Group[G, K]) Add(group G, key K) {
	keys := g.keys[group]
	if at, found := slices.BinarySearch(keys, key); !found {
		g.keys[group] = slices.Insert(keys, at, key)
	}
}

// Remove takes a key out of a group.
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

// Keys returns the keys of a group in order. The result must not be kept or changed, and is valid until the next Add or Remove.
func (g *Group[G, K]) Keys(group G) []K { return g.keys[group] }

// Len returns the number of keys of a group.
func (g *Group[G, K]) Len(group G) int { return len(g.keys[group]) }
