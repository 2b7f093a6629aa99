package tabler

import (
	"cmp"
	"container/heap"
	"time"
)

// Timeline holds at most one deadline per key and returns the keys whose deadline has passed. It is not safe for concurrent use.
type Timeline[K cmp.Ordered] struct {
	queue deadlines[K]
	// current holds the valid deadline of each key. Entries of queue that differ from it are stale and are dropped when they reach the head.
	current map[K]time.Time
}

// NewTimeline returns an empty timeline.
func NewTimeline[K cmp.Ordered]() *Timeline[K] {
	return &Timeline[K]{current: map[K]time.Time{}}
}

// Set sets or replaces the deadline of key.
func (t *Timeline[K]) Set(key K, at time.Time) {
	t.current[key] = at
	heap.Push(&t.queue, deadline[K]{at: at, key: key})
}

// Clear removes the deadline of key, if present.
func (t *Timeline[K]) Clear(key K) { delete(t.current, key) }

// Next returns the earliest deadline and whether there is one.
func (t *Timeline[K]) Next() (time.Time, bool) {
	t.dropStale()
	if len(t.queue) == 0 {
		return time.Time{}, false
	}
	return t.queue[0].at, true
}

// Due removes and returns the keys whose deadline is not after now, earliest first.
func (t *Timeline[K]) Due(now time.Time) []K {
	var due []K
	for {
		at, ok := t.Next()
		if !ok || at.After(now) {
			return due
		}
		key := t.queue[0].key
		heap.Pop(&t.queue)
		delete(t.current, key)
		due = append(due, key)
	}
}

// dropStale removes stale entries from the head of the queue.
func (t *Timeline[K]) dropStale() {
	for len(t.queue) > 0 {
		head := t.queue[0]
		if at, ok := t.current[head.key]; ok && at.Equal(head.at) {
			return
		}
		heap.Pop(&t.queue)
	}
}

type deadline[K cmp.Ordered] struct {
	at  time.Time
	key K
}

// deadlines implements heap.Interface with the earliest deadline at the root.
type deadlines[K cmp.Ordered] []deadline[K]

func (d deadlines[K]) Len() int { return len(d) }

// Less orders equal deadlines by key, so that runs are reproducible.
func (d deadlines[K]) Less(i, j int) bool {
	if d[i].at.Equal(d[j].at) {
		return d[i].key < d[j].key
	}
	return d[i].at.Before(d[j].at)
}
func (d deadlines[K]) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deadlines[K]) Push(x any)   { *d = append(*d, x.(deadline[K])) }
func (d *deadlines[K]) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}
