package batcher

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var boot = time.Unix(1_000_000, 0)

// run ticks an engine until no tick is due or limit has passed, and returns the effects and their times since boot.
func run(e *Engine, now time.Time, limit time.Duration, events ...Event) ([]Effect, []time.Duration) {
	var effects []Effect
	var times []time.Duration
	for end := now.Add(limit); ; {
		out, next := e.Tick(now, events...)
		events = nil
		for range out {
			times = append(times, now.Sub(boot))
		}
		effects = append(effects, out...)
		if next.IsZero() || next.After(end) {
			return effects, times
		}
		now = next
	}
}

// warmParameters returns the defaults without a cold start.
func warmParameters() Parameters {
	p := DefaultParameters()
	p.ColdFor, p.ColdRequests = 0, 0
	return p
}

// text returns a text of n tokens that starts with seed.
func text(n int, seed string) string {
	return (seed + strings.Repeat("lorem ipsum dolor ", n*BytesPerToken/18+1))[:n*BytesPerToken]
}

func submit(p Parameters, attempt, prompt string, maxTokens, priority int) Submit {
	return Submit{Attempt: attempt, Prompt: NewPrompt(prompt, p), MaxTokens: maxTokens, Priority: priority}
}

// output returns the text that an attempt has produced.
func output(effects []Effect, attempt string) string {
	var b strings.Builder
	for _, effect := range effects {
		if token, ok := effect.(Token); ok && token.Attempt == attempt {
			b.WriteString(token.Text)
		}
	}
	return b.String()
}

// TestFirstTokenTime guards against a cost model that ignores the quadratic term of prefill or the duration of a decode step.
func TestFirstTokenTime(t *testing.T) {
	cases := []struct {
		tokens int
		want   time.Duration
	}{
		{tokens: 100, want: 18 * time.Millisecond},
		{tokens: 25_000, want: 1125 * time.Millisecond},
		{tokens: 200_000, want: 16 * time.Second},
	}
	for _, c := range cases {
		p := warmParameters()
		effects, times := run(New(p, boot), boot, time.Minute, submit(p, "a", text(c.tokens, ""), 2, 0))
		assert.Equal(t, len(effects), 4)
		assert.Assert(t, (times[1]-c.want).Abs() < c.want/20, "%d tokens: %v", c.tokens, times[1])
		assert.Equal(t, times[2]-times[1], 18*time.Millisecond+250*time.Microsecond)
	}
}

// TestContinuation guards against repeated, lost or changed tokens when a request continues a partial output.
func TestContinuation(t *testing.T) {
	p := warmParameters()
	prompt := text(300, "é") + "x"
	effects, _ := run(New(p, boot), boot, time.Minute, submit(p, "a", prompt, 20, 0))
	whole := output(effects, "a")
	assert.Equal(t, len(whole), 20*BytesPerToken)
	for _, delivered := range []int{1, 7, 19} {
		cut := delivered * BytesPerToken
		effects, _ = run(New(p, boot), boot, time.Minute, submit(p, "b", prompt+whole[:cut], 20-delivered, 0))
		assert.Equal(t, output(effects, "b"), whole[cut:])
	}
}

// TestMemory guards against wrong refusals: memory is reserved from arrival to end, and a request that can never fit is refused as TooLong
// instead of Full.
func TestMemory(t *testing.T) {
	p := warmParameters()
	p.Capacity = 1000
	cases := []struct {
		name   string
		events []Event
		want   Effect
	}{
		{"too long", []Event{submit(p, "b", text(999, ""), 2, 0)}, Refused{"b", TooLong}},
		{"full", []Event{submit(p, "a", text(600, ""), 1, 0), submit(p, "b", text(400, ""), 1, 0)}, Refused{"b", Full}},
		{"free after cancel", []Event{
			submit(p, "a", text(600, ""), 1, 0), Cancel{"a"}, Cancel{"a"}, submit(p, "b", text(400, ""), 1, 0),
		}, Accepted{Attempt: "b"}},
		{"duplicate", []Event{submit(p, "b", text(6, ""), 1, 0), submit(p, "b", text(4, ""), 1, 0)}, Refused{"b", Duplicate}},
		{"empty", []Event{submit(p, "b", "", 1, 0)}, Refused{"b", Invalid}},
	}
	for _, c := range cases {
		effects, _ := New(p, boot).Tick(boot, c.events...)
		assert.DeepEqual(t, effects[len(effects)-1], c.want)
	}
}

// TestExpiry guards against a request that holds memory after its deadline, and against a next tick that is later than the deadline.
func TestExpiry(t *testing.T) {
	p := warmParameters()
	e := New(p, boot)
	s := submit(p, "a", text(100_000, ""), 1, 0)
	s.ExpiresAt = boot.Add(1234 * time.Millisecond)
	effects, times := run(e, boot, time.Hour, s)
	assert.DeepEqual(t, effects, []Effect{Accepted{Attempt: "a"}, Expired{"a"}})
	assert.Equal(t, times[1], 1234*time.Millisecond)
	assert.Equal(t, e.Load().Used, 0)
}

// TestPriority guards against prefill or batch admission that ignores priorities, so that long prompts delay urgent short ones.
func TestPriority(t *testing.T) {
	for _, batch := range []int{1, 64} {
		p := warmParameters()
		p.MaxBatch = batch
		e := New(p, boot)
		effects, _ := run(e, boot, time.Hour,
			submit(p, "low", text(5000, "l"), 1, 0), submit(p, "high", text(3000, "h"), 1, 5), submit(p, "later", text(3000, "k"), 1, 5))
		var order []string
		for _, effect := range effects {
			if f, ok := effect.(Finished); ok {
				order = append(order, f.Attempt)
			}
		}
		assert.DeepEqual(t, order, []string{"high", "later", "low"})
		assert.Equal(t, e.Load().Used, 0)
	}
}

// TestColdAndPoison guards against a cold start that admits more than ColdLimit, never ends or does not slow steps, and against a poison
// prompt that doesn't crash the engine.
func TestColdAndPoison(t *testing.T) {
	p := DefaultParameters()
	p.ColdRequests = 1
	one, two, three := submit(p, "a", text(9, ""), 1, 0), submit(p, "b", text(9, ""), 1, 0), submit(p, "c", text(9, ""), 1, 0)
	cases := []struct {
		name   string
		before []Event
		wait   time.Duration
		events []Event
		want   string
	}{
		{"two at boot", nil, 0, []Event{one, two}, "[{a true} {b true}]"},
		{"three at boot", nil, 0, []Event{one, two, three}, "[{a true} {b true} {overloaded during cold start}]"},
		{"warm by time", nil, 31 * time.Second, []Event{one, two, three}, "[{a false} {b false} {c false}]"},
		{"warm by requests", []Event{one}, time.Second, []Event{one, two, three}, "[{a false} {b false} {c false}]"},
		{"cold again", nil, 31 * time.Second, []Event{one, two, StartCold{}, three}, "[{a false} {b false} {c true}]"},
	}
	for _, c := range cases {
		e := New(p, boot)
		run(e, boot, c.wait, c.before...)
		e.Tick(boot.Add(c.wait))
		effects, _ := e.Tick(boot.Add(c.wait), c.events...)
		assert.Equal(t, fmt.Sprint(effects), c.want, c.name)
	}
	_, times := run(New(p, boot), boot, time.Second, one)
	assert.Equal(t, times[1], 3*18*time.Millisecond)
	effects, _ := run(New(warmParameters(), boot), boot, time.Second, submit(p, "a", "some <poison> text", 5, 0))
	assert.DeepEqual(t, effects[1:], []Effect{Crashed{"poison prompt"}})
}

// TestPrefixCache guards against a prefix cache that is not used, exceeds its size, or omits an event for a change.
func TestPrefixCache(t *testing.T) {
	p := warmParameters()
	p.CacheTokens = 10 * p.BlockTokens
	e := New(p, boot)
	run(e, boot, time.Minute, submit(p, "a", text(2000, "a"), 1, 0))
	effects, _ := run(e, boot.Add(time.Minute), time.Minute, submit(p, "b", text(2000, "a")+"more", 1, 0))
	assert.Equal(t, effects[2].(Finished).Cached, 7*p.BlockTokens)
	run(e, boot.Add(2*time.Minute), time.Hour, submit(p, "c", text(100_000, "c"), 1, 0))
	assert.Equal(t, e.cache.blocks.len(), 10)
	events, first, next := e.CacheEvents(0)
	cached := map[uint64]bool{}
	for i, event := range events {
		assert.Equal(t, event.Seq, first+int64(i))
		cached[event.Prefix] = event.Stored
	}
	assert.Equal(t, next, first+int64(len(events)))
	for prefix, stored := range cached {
		assert.Equal(t, e.cache.blocks.contains(prefix), stored)
	}
	assert.Equal(t, e.cache.matchedPrefix(NewPrompt(text(100_000, "c"), p).Blocks), 10)
}

// TestPrefixCacheKeepsStart guards against a cache that evicts the start of a prompt before its end, which makes the remaining blocks
// useless. It comes about when a shorter prompt with the same start was processed earlier, because the shared blocks are then the least
// recently used ones.
func TestPrefixCacheKeepsStart(t *testing.T) {
	p := warmParameters()
	p.CacheTokens = 10 * p.BlockTokens
	e := New(p, boot)
	long := text(100_000, "a")
	for i, prompt := range []string{long[:2500], text(1000, "b"), long, long} {
		effects, _ := run(e, boot.Add(time.Duration(i)*time.Hour), time.Hour, submit(p, "a", prompt, 1, 0))
		want := []int{0, 0, 2 * p.BlockTokens, 10 * p.BlockTokens}[i]
		assert.Equal(t, effects[2].(Finished).Cached, want)
	}
}

// TestExport guards against an export whose memory is never freed, and against an import that does not shorten prefill.
func TestExport(t *testing.T) {
	p := warmParameters()
	from, to := New(p, boot), New(p, boot)
	run(from, boot, 500*time.Millisecond, submit(p, "a", text(5000, ""), 1000, 0))
	from.Tick(boot.Add(time.Second), MakeExport{ID: "x", Attempt: "a", ExpiresAt: boot.Add(time.Minute)}, Cancel{"a"})
	export, ok := from.Export("x")
	assert.Assert(t, ok)
	assert.Equal(t, from.Load().Used, 19*p.BlockTokens)
	run(from, boot.Add(time.Second), time.Hour)
	assert.Equal(t, from.Load().Used, 0)
	effects, _ := run(to, boot, time.Minute, Import{Blocks: export.Blocks}, submit(p, "a", text(5000, ""), 1, 0))
	assert.Equal(t, effects[2].(Finished).Cached, 19*p.BlockTokens)
}

// Measures one decode step of a full batch, which limits how many engines a machine can emulate.
func BenchmarkDecodeStep(b *testing.B) {
	p := warmParameters()
	e := New(p, boot)
	for i := range p.MaxBatch {
		e.Tick(boot, submit(p, fmt.Sprint(i), "prompt", 6000, 0))
	}
	now := boot
	for b.Loop() {
		effects, next := e.Tick(now)
		now = next
		if len(effects) > p.MaxBatch { // a sequence ended
			b.Fatal("sequences too short for the benchmark")
		}
		if next.Sub(boot) > 3*time.Minute {
			e, now = New(p, boot), boot
			for i := range p.MaxBatch {
				e.Tick(boot, submit(p, fmt.Sprint(i), "prompt", 6000, 0))
			}
		}
	}
}
