package admitter

import (
	"container/list"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// prefixCacheSize is the maximum number of cached prefixes.
const prefixCacheSize = 10_000

// PrefixCache remembers which endpoint last served a prompt prefix. It is a hint: the endpoint may have evicted the prefix.
type PrefixCache struct {
	entries map[uint64]*list.Element
	// order has the most recently used entry at the front.
	order *list.List
}

type prefixEntry struct {
	prefix   uint64
	endpoint modeler.EndpointID
}

// NewPrefixCache returns an empty cache.
func NewPrefixCache() *PrefixCache {
	return &PrefixCache{entries: map[uint64]*list.Element{}, order: list.New()}
}

// Get returns the endpoint that last served a prefix, or empty if the prefix is not cached.
func (c *PrefixCache) Get(prefix uint64) modeler.EndpointID {
	if e, ok := c.entries[prefix]; ok {
		return e.Value.(prefixEntry).endpoint
	}
	return ""
}

// Put records the endpoint of a prefix and evicts the least recently used entry when the cache is full.
func (c *PrefixCache) Put(prefix uint64, endpoint modeler.EndpointID) {
	if e, ok := c.entries[prefix]; ok {
		e.Value = prefixEntry{prefix: prefix, endpoint: endpoint}
		c.order.MoveToFront(e)
		return
	}
	c.entries[prefix] = c.order.PushFront(prefixEntry{prefix: prefix, endpoint: endpoint})
	if c.order.Len() > prefixCacheSize {
		oldest := c.order.Back()
		delete(c.entries, oldest.Value.(prefixEntry).prefix)
		c.order.Remove(oldest)
	}
}
