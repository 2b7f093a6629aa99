package batcher

import "container/list"

// recencyList holds keys in the order of their last use.
type recencyList[K comparable] struct {
	order *list.List // most recently used first; values are keys
	items map[K]*list.Element
}

func newRecencyList[K comparable]() *recencyList[K] {
	return &recencyList[K]{order: list.New(), items: map[K]*list.Element{}}
}

func (r *recencyList[K]) len() int { return len(r.items) }

func (r *recencyList[K]) contains(key K) bool {
	_, ok := r.items[key]
	return ok
}

// touch makes key the most recently used one, adds it if it is missing, and reports whether it was added.
func (r *recencyList[K]) touch(key K) bool {
	if item, ok := r.items[key]; ok {
		r.order.MoveToFront(item)
		return false
	}
	r.items[key] = r.order.PushFront(key)
	return true
}

// removeOldest removes the least recently used key and returns it. The result is false if the list is empty.
func (r *recencyList[K]) removeOldest() (K, bool) {
	last := r.order.Back()
	if last == nil {
		var zero K
		return zero, false
	}
	key := r.order.Remove(last).(K)
	delete(r.items, key)
	return key, true
}
