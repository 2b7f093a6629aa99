package responder

import (
	"sync"

	"damaskpick.example/damaskpick/internal/emulation/batcher"
)

// mailbox passes the effects of one sequence from the goroutine that owns the engine to the one that writes the response. It never
// blocks the sender; its size is bounded by the maximum output of the sequence.
type mailbox struct {
	mu      sync.Mutex
	effects []batcher.Effect
	// ready has capacity 1 and holds a signal when effects may be pending.
	ready chan struct{}
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

func (m *mailbox) put(effect batcher.Effect) {
	m.mu.Lock()
	m.effects = append(m.effects, effect)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take removes and returns the pending effects in order. The mailbox reuses spare as its next buffer.
func (m *mailbox) take(spare []batcher.Effect) []batcher.Effect {
	m.mu.Lock()
	defer m.mu.Unlock()
	effects := m.effects
	m.effects = spare[:0]
	return effects
}
