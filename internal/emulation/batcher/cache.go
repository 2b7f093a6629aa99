package batcher

import "slices"

// CacheEvent is a change of the prefix cache: a block was stored or evicted.
type CacheEvent struct {
	// Seq numbers the events of one boot from 1.
	Seq int64
	// Stored is true when the block was stored and false when it was evicted.
	Stored bool
	// Prefix is the hash of the text from the start of the prompt to the end of the block.
	Prefix uint64
}

// cache is the prefix cache: the most recently used blocks, each identified by the hash of the text up to the end of the block.
type cache struct {
	maxBlocks int
	maxEvents int // at least this many of the latest events remain readable
	blocks    *recencyList[uint64]
	events    []CacheEvent
	nextSeq   int64
}

func newCache(p Parameters) *cache {
	return &cache{maxBlocks: p.CacheTokens / p.BlockTokens, maxEvents: p.CacheEvents, blocks: newRecencyList[uint64](), nextSeq: 1}
}

// matchedPrefix returns how many leading blocks of a prompt the cache contains.
func (c *cache) matchedPrefix(blocks []uint64) int {
	for i, block := range blocks {
		if !c.blocks.contains(block) {
			return i
		}
	}
	return len(blocks)
}

// store adds blocks[from:to] of a prompt and evicts the least recently used blocks above the limit. Of a prompt longer than the cache,
// only the start is stored, because a block is useless without the blocks before it.
func (c *cache) store(blocks []uint64, from, to int) {
	for _, block := range blocks[min(from, c.maxBlocks):min(to, c.maxBlocks)] {
		if c.blocks.touch(block) {
			c.addEvent(true, block)
		}
		for c.blocks.len() > c.maxBlocks {
			evicted, _ := c.blocks.removeOldest()
			c.addEvent(false, evicted)
		}
	}
}

// markUsed marks the cached blocks of a prompt as used. It orders the end of the prompt as less recently used than its start, so that
// the end is evicted first.
func (c *cache) markUsed(blocks []uint64) {
	for _, block := range slices.Backward(blocks[:min(len(blocks), c.maxBlocks)]) {
		if c.blocks.contains(block) {
			c.blocks.touch(block)
		}
	}
}

func (c *cache) addEvent(stored bool, block uint64) {
	c.events = append(c.events, CacheEvent{Seq: c.nextSeq, Stored: stored, Prefix: block})
	c.nextSeq++
	if len(c.events) > 2*c.maxEvents {
		c.events = slices.Clone(c.events[len(c.events)-c.maxEvents:])
	}
}

// eventsSince returns the retained events with a Seq of at least from, the Seq of the oldest retained event and the Seq that the next
// event will get.
func (c *cache) eventsSince(from int64) (events []CacheEvent, first, next int64) {
	first = c.nextSeq - int64(len(c.events))
	start := min(max(from-first, 0), int64(len(c.events)))
	return slices.Clone(c.events[start:]), first, c.nextSeq
}
