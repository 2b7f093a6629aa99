package batcher

import "time"

// Export is KV memory retained for transfer to another engine.
type Export struct {
	ID string
	// Blocks holds the hashes of the processed complete blocks of the prompt.
	Blocks []uint64
	// Tokens is the KV memory that the export occupies until ExpiresAt, in tokens.
	Tokens    int
	ExpiresAt time.Time
}

// makeExport retains the processed blocks of a sequence. It does nothing when the sequence doesn't exist or the free memory is too small.
func (e *Engine) makeExport(event MakeExport) {
	s, ok := e.sequences.Get(event.Attempt)
	if !ok {
		return
	}
	blocks := s.Prompt.Blocks[:min(s.Prefilled/e.params.BlockTokens, len(s.Prompt.Blocks))]
	tokens := len(blocks) * e.params.BlockTokens
	if e.usedTokens()+tokens > e.params.Capacity {
		return
	}
	e.exports.Put(event.ID, Export{ID: event.ID, Blocks: blocks, Tokens: tokens, ExpiresAt: event.ExpiresAt})
	e.exportExpiry.Set(event.ID, event.ExpiresAt)
}

func (e *Engine) dropExport(id string) {
	e.exports.Delete(id)
	e.exportExpiry.Clear(id)
}

// expireExports frees the exports that have reached ExpiresAt.
func expireExports(t *tick, e *Engine) {
	for _, id := range e.exportExpiry.Due(t.now) {
		e.exports.Delete(id)
	}
}
