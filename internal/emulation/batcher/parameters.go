// Package batcher simulates the cost of running requests on a model engine: continuous batching with chunked prefill, KV memory, a
// prefix cache, priorities and cold start. The caller passes in the current time, and the package does no I/O.
package batcher

import "time"

// Parameters set the speed and the limits of an engine. The defaults don't describe any particular accelerator.
type Parameters struct {
	// PrefillRate is the prompt processing speed at the start of a prompt, in tokens per second.
	PrefillRate float64
	// DoublingLength is the prompt length at which attention doubles the cost of the whole prompt, in tokens. A prompt of
	// n tokens costs n/PrefillRate * (1 + n/DoublingLength).
	DoublingLength float64
	// ChunkTokens is the maximum number of prompt tokens processed in one step, over all sequences.
	ChunkTokens int
	// DecodeStep is the minimum duration of a step; DecodePerSequence is added for each sequence that decodes. The prefill of the
	// same step overlaps with DecodeStep, because decode is bound by memory reads of the weights and prefill by arithmetic.
	DecodeStep        time.Duration
	DecodePerSequence time.Duration
	// MaxBatch is the maximum number of sequences that prefill or decode at the same time. Others wait, but hold their memory.
	MaxBatch int
	// Capacity is the KV memory in tokens. A sequence reserves its prompt and its maximum output from arrival to end.
	Capacity int
	// BlockTokens is the size of a block of the prefix cache and CacheTokens the size of the whole cache, both in tokens.
	BlockTokens int
	CacheTokens int
	// CacheEvents is how many of the latest cache events remain readable.
	CacheEvents int
	// ColdFor and ColdRequests end a cold start, whichever is reached first: the time since it began, or the number of requests
	// completed since then. Zero disables a limit; an engine with both at zero is never cold.
	ColdFor      time.Duration
	ColdRequests int
	// ColdSlowdown multiplies the duration of steps during a cold start. It must be at least 1.
	ColdSlowdown float64
	// ColdLimit is the maximum number of running requests that arrived during the current cold start; one more crashes the engine.
	ColdLimit int
	// Poison is a text that crashes the engine when it processes a prompt that contains it. Empty disables the crash.
	Poison string
	// StopOneIn ends an output before its maximum length with probability 1/StopOneIn after each token. Zero disables early ends.
	StopOneIn uint64
	// TimeScale multiplies all durations, including ColdFor: 0.1 runs ten times as fast as real time.
	TimeScale float64
}

// DefaultParameters returns the parameters used by the stand-ins.
func DefaultParameters() Parameters {
	return Parameters{
		PrefillRate:       25_000,
		DoublingLength:    200_000,
		ChunkTokens:       1024,
		DecodeStep:        18 * time.Millisecond,
		DecodePerSequence: 250 * time.Microsecond,
		MaxBatch:          64,
		Capacity:          400_000,
		BlockTokens:       256,
		CacheTokens:       200_000,
		CacheEvents:       20_000,
		ColdFor:           30 * time.Second,
		ColdRequests:      8,
		ColdSlowdown:      3,
		ColdLimit:         2,
		Poison:            "<poison>",
		TimeScale:         1,
	}
}

// scaled returns d multiplied by TimeScale.
func (p Parameters) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * p.TimeScale)
}

// prefillCost returns the duration of processing the next tokens of a prompt after the first done ones, before TimeScale is applied. It
// is the difference between the costs of two prompts, so the sum over all chunks does not depend on the chunk size.
func (p Parameters) prefillCost(done, tokens int) time.Duration {
	from, to := float64(done), float64(done+tokens)
	units := (to - from) + (to*to-from*from)/p.DoublingLength
	return time.Duration(units / p.PrefillRate * float64(time.Second))
}
