// Package tabler provides the generic containers of the control state: tables with ordered iteration and a list of
// changed rows, and timelines of deadlines.
package tabler

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Table holds one row per key. Rows are immutable values; Put replaces a row. A Table is not safe for concurrent use.
type Table[K cmp.Ordered, V any] struct {
	rows map[K]V
	// keys is sorted and holds exactly the keys of rows, unless stale is set.
	keys  []K
	stale bool
	// dirty holds the keys put or deleted since the last call of Changed. It is nil until the first call, so that a table that
	// nobody tracks does not collect keys.
	dirty map[K]struct{}
	// revision counts puts and deletions.
	revision uint64
}

// NewTable returns an empty table.
func NewTable[K cmp.Ordered, V any]() *Table[K, V] {
	return &Table[K, V]{rows: map[K]V{}}
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// Revision grows with each put and deletion, so that a copy of the rows is known to be current.
func (t *Table[K, V]) Revision() uint64 { return t.revision }

// Get returns the row of key and whether it exists.
func (t *Table[K, V]) Get(key K) (V, bool) {
	row, ok := t.rows[key]
	return row, ok
}

// Put inserts or replaces the row of key and marks it changed.
func (t *Table[K, V]) Put(key K, row V) {
	if _, ok := t.rows[key]; !ok {
		t.stale = true
	}
	t.rows[key] = row
	t.mark(key)
}

// Delete removes the row of key, if present, and marks it changed.
func (t *Table[K, V]) Delete(key K) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	delete(t.rows, key)
	t.stale = true
	t.mark(key)
}

// All iterates over the rows in key order. The loop body may put and delete rows; rows inserted meanwhile are not visited.
func (t *Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, key := range t.sorted() {
			row, ok := t.rows[key]
			if !ok {
				continue
			}
			if !yield(key, row) {
				return
			}
		}
	}
}

// Scattered iterates over the rows in an order that spreads over the keys, from the row at start. A reader that stops early has a sample, and
// a random start gives each row the same chance to be in it. The loop body may put and delete rows.
func (t *Table[K, V]) Scattered(start int) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		keys := t.sorted()
		if len(keys) == 0 {
			return
		}
		stride := scatterStride(len(keys))
		for i, at := 0, start%len(keys); i < len(keys); i, at = i+1, (at+stride)%len(keys) {
			if row, ok := t.rows[keys[at]]; ok && !yield(keys[at], row) {
				return
			}
		}
	}
}

// scatterStride returns a number near the golden section of n that has no common divisor with n, so that its multiples visit every place.
func scatterStride(n int) int {
	const goldenSection = 0.618
	stride := max(int(goldenSection*float64(n)), 1)
	for gcd(stride, n) != 1 {
		stride++
	}
	return stride
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (t *Table[K, V]) mark(key K) {
	t.revision++
	if t.dirty != nil {
		t.dirty[key] = struct{}{}
	}
}

// Changed returns the keys put or deleted since the previous call, in key order, and clears the list. The first call
// returns all keys and starts the tracking. A table has one tracking reader.
func (t *Table[K, V]) Changed() []K {
	if t.dirty == nil {
		t.dirty = map[K]struct{}{}
		return slices.Clone(t.sorted())
	}
	if len(t.dirty) == 0 {
		return nil
	}
	keys := slices.Sorted(maps.Keys(t.dirty))
	clear(t.dirty)
	return keys
}

// sorted returns a new slice when keys changed, so that a running iteration keeps its own view.
func (t *Table[K, V]) sorted() []K {
	if t.stale {
		t.keys = slices.Sorted(maps.Keys(t.rows))
		t.stale = false
	}
	return t.keys
}
