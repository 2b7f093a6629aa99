package batcher

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestEveryRequestEndsOnce guards against sequences that end twice or never, tokens after the end, wrong token counts, and memory use above
// the capacity or not freed, for random orders of requests and cancels.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := warmParameters()
		p.Capacity, p.MaxBatch, p.ChunkTokens, p.StopOneIn = 2000, 3, 100, 20
		e, now := New(p, boot), boot
		running, tokens := map[string]bool{}, map[string]int{}
		check := func(effects []Effect) {
			for _, effect := range effects {
				switch effect := effect.(type) {
				case Accepted:
					running[effect.Attempt] = true
				case Token:
					assert.Assert(t, running[effect.Attempt])
					tokens[effect.Attempt]++
				case Finished:
					assert.Assert(t, running[effect.Attempt])
					assert.Equal(t, effect.Tokens, tokens[effect.Attempt])
					delete(running, effect.Attempt)
				case Cancelled:
					assert.Assert(t, running[effect.Attempt])
					delete(running, effect.Attempt)
				}
			}
			assert.Equal(t, len(e.Sequences()), len(running))
			assert.Assert(t, e.Load().Used <= p.Capacity)
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "wait")) * time.Millisecond)
			var event Event = Cancel{Attempt: fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "cancelled"))}
			if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
				prompt := text(rapid.IntRange(5, 900).Draw(t, "prompt"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "seed"))
				event = submit(p, fmt.Sprint(i), prompt, rapid.IntRange(1, 50).Draw(t, "max"), rapid.IntRange(0, 2).Draw(t, "priority"))
			}
			effects, _ := e.Tick(now, event)
			check(effects)
		}
		effects, _ := run(e, now, time.Hour)
		check(effects)
		assert.Equal(t, len(running), 0)
		assert.Equal(t, e.Load().Used, 0)
	})
}
