// Package tabler provides the generic containers of the control state: tables with ordered iteration and tracking of
// changed rows, secondary indexes, and timelines of deadlines.
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
	// changed holds the keys put or deleted since the last call of Changed. It is nil until the first call, so that tables whose
	// changes are not tracked do not collect keys.
	changed map[K]struct{}
	// revision counts puts and deletions.
	revision uint64
}

// NewTable returns an empty table.
func NewTable[K cmp.Ordered, V any]() *Table[K, V] {
	return &Table[K, V]{rows: map[K]V{}}
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// Revision returns a number that increases with each put and deletion. If it has not changed, a copy of the rows is up to date.
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
	t.markChanged(key)
}

// Delete removes the row of key, if present, and marks it changed.
func (t *Table[K, V]) Delete(key K) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	delete(t.rows, key)
	t.stale = true
	t.markChanged(key)
}

// All iterates over the rows in key order. The loop body may put and delete rows; rows inserted during the iteration are not visited.
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

// Scattered iterates over the rows from index start, modulo the number of rows, in an order that spreads evenly over the keys. A caller
// that stops early has visited a sample; with a random start, each row is in it with the same probability. The loop body may put and
// delete rows.
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

// scatterStride returns a stride near n divided by the golden ratio. It is coprime to n, so that its multiples modulo n visit every
// index.
func scatterStride(n int) int {
	const inverseGoldenRatio = 0.618
	stride := max(int(inverseGoldenRatio*float64(n)), 1)
	for gcd(stride, n) != 1 {
		stride++
	}
	return stride
}

// gcd returns the greatest common divisor of a and b.
func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// markChanged counts the change in revision and adds key to changed if changes are tracked.
func (t *Table[K, V]) markChanged(key K) {
	t.revision++
	if t.changed != nil {
		t.changed[key] = struct{}{}
	}
}

// Changed returns the keys put or deleted since the previous call, in key order, and clears the list. The first call
// returns all keys and starts the tracking. A table supports one caller of Changed.
func (t *Table[K, V]) Changed() []K {
	if t.changed == nil {
		t.changed = map[K]struct{}{}
		return slices.Clone(t.sorted())
	}
	if len(t.changed) == 0 {
		return nil
	}
	keys := slices.Sorted(maps.Keys(t.changed))
	clear(t.changed)
	return keys
}

// sorted returns the keys in ascending order. If the set of keys has changed, it returns a new slice, so that the slice of a running
// iteration does not change.
func (t *Table[K, V]) sorted() []K {
	if t.stale {
		t.keys = slices.Sorted(maps.Keys(t.rows))
		t.stale = false
	}
	return t.keys
}
