package tabler_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/control/tabler"
)

// TestTable guards against iterations that skip a row, return it twice or return it after its deletion, and against changes that Changed
// does not list.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model := tabler.NewTable[int, int](), map[int]int{}
		changed := map[int]bool{}
		table.Changed()
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			key, value := rapid.IntRange(0, 20).Draw(t, "key"), rapid.Int().Draw(t, "value")
			if _, ok := model[key]; rapid.Bool().Draw(t, "delete") {
				table.Delete(key)
				delete(model, key)
				if ok {
					changed[key] = true
				}
				continue
			}
			table.Put(key, value)
			model[key], changed[key] = value, true
		}
		assert.DeepEqual(t, maps.Collect(table.All()), model)
		assert.DeepEqual(t, maps.Collect(table.Scattered(rapid.IntRange(0, 30).Draw(t, "start"))), model)
		assert.Equal(t, table.Len(), len(model))
		var keys []int
		for key := range table.All() {
			keys = append(keys, key)
		}
		assert.Assert(t, slices.IsSorted(keys))
		listed := table.Changed()
		assert.DeepEqual(t, listed, slices.Sorted(maps.Keys(changed)))
		assert.Equal(t, len(table.Changed()), 0)
	})
}

// TestScattered guards against rows that no start visits first, and against samples of adjacent keys only.
func TestScattered(t *testing.T) {
	tests := []int{1, 2, 3, 4, 6, 8, 10, 97, 100, 660, 1024}
	for _, n := range tests {
		table := tabler.NewTable[int, int]()
		for key := range n {
			table.Put(key, key)
		}
		first := map[int]bool{}
		for start := range n {
			var order []int
			for key := range table.Scattered(start) {
				order = append(order, key)
			}
			first[order[0]] = true
			assert.Equal(t, len(order), n)
			assert.DeepEqual(t, len(slices.Compact(slices.Sorted(slices.Values(order)))), n)
			if n >= 97 {
				quarter := slices.Sorted(slices.Values(order[:n/4]))
				assert.Assert(t, quarter[len(quarter)-1]-quarter[0] > n*3/4, "a quarter of %d rows does not spread over all keys", n)
			}
		}
		assert.Equal(t, len(first), n)
	}
}

// TestGroup guards against keys that remain in a group after their removal.
func TestGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group, model := tabler.NewGroup[int, int](), map[int]map[int]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			g, key := rapid.IntRange(0, 3).Draw(t, "group"), rapid.IntRange(0, 9).Draw(t, "key")
			if model[g] == nil {
				model[g] = map[int]bool{}
			}
			if rapid.Bool().Draw(t, "remove") {
				group.Remove(g, key)
				delete(model[g], key)
				continue
			}
			group.Add(g, key)
			model[g][key] = true
		}
		for g, keys := range model {
			assert.Equal(t, group.Len(g), len(keys))
			assert.Assert(t, slices.Equal(group.Keys(g), slices.Sorted(maps.Keys(keys))))
		}
	})
}

// TestTimeline guards against deadlines that are returned early, late, twice or after they were cleared.
func TestTimeline(t *testing.T) {
	start := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		timeline, model := tabler.NewTimeline[int](), map[int]time.Time{}
		now := start
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			key := rapid.IntRange(0, 9).Draw(t, "key")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				timeline.Clear(key)
				delete(model, key)
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "pass")) * time.Second)
				var due []int
				for k, at := range model {
					if !at.After(now) {
						due = append(due, k)
						delete(model, k)
					}
				}
				assert.Assert(t, slices.Equal(slices.Sorted(slices.Values(timeline.Due(now))), slices.Sorted(slices.Values(due))))
			default:
				at := start.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "at")) * time.Second)
				timeline.Set(key, at)
				model[key] = at
			}
			next, ok := timeline.Next()
			assert.Equal(t, ok, len(model) > 0)
			for _, at := range model {
				assert.Assert(t, !at.Before(next))
			}
		}
	})
}
