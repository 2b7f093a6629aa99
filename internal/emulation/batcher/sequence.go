package batcher

import "github.com/cespare/xxhash/v2"

// Phase is the progress of a sequence.
type Phase uint8

// Phases of a sequence.
const (
	// Waiting means that the sequence holds memory but is not in the batch.
	Waiting Phase = iota
	// Prefilling means that the sequence is in the batch and its prompt is being processed.
	Prefilling
	// Decoding means that the sequence produces one token in each step.
	Decoding
)

// Sequence is the state of one request in the engine. It is immutable: the methods that start with "with" return a changed copy.
type Sequence struct {
	Attempt string
	// Node is the sender of the request, as stated in the request.
	Node string
	// Priority is higher for more urgent requests.
	Priority  int
	Prompt    Prompt
	MaxTokens int
	// Order numbers the sequences by arrival; it decides between equal priorities.
	Order int64

	Phase Phase
	// Prefilled is the number of prompt tokens that are processed or came from the prefix cache; it never exceeds Prompt.Tokens.
	Prefilled int
	// cachedTokens is the number of prompt tokens that came from the prefix cache.
	cachedTokens int
	// Generated is the number of produced tokens; it never exceeds MaxTokens.
	Generated int
	// chunkTokens is the number of prompt tokens that the current step processes.
	chunkTokens int
	// decodes is set when the current step produces a token for the sequence.
	decodes bool
	// arrivedCold is set when the sequence arrived during the current cold start.
	arrivedCold bool
	// digest is the hash state after the prompt and the produced tokens.
	digest xxhash.Digest
}

// Reserved returns the KV memory reserved for the sequence, in tokens.
func (s Sequence) Reserved() int { return s.Prompt.Tokens + s.MaxTokens }

// withAdmitted returns a copy that is in the batch and whose first cached tokens need no processing. At least one prompt token is always
// processed, because its result is the first output token.
func (s Sequence) withAdmitted(cached int) Sequence {
	s.Phase = Prefilling
	s.Prefilled = min(cached, s.Prompt.Tokens-1)
	s.cachedTokens = s.Prefilled
	return s
}

// withPlan returns a copy that processes chunk prompt tokens in the next step (zero for none) and, if decodes is set, produces a token.
func (s Sequence) withPlan(chunk int, decodes bool) Sequence {
	s.chunkTokens, s.decodes = chunk, decodes
	return s
}

// withChunkDone returns a copy that counts the prompt tokens of the step as processed. Once the prompt is complete, the copy decodes in
// the same step.
func (s Sequence) withChunkDone() Sequence {
	s.Prefilled += s.chunkTokens
	s.chunkTokens = 0
	if s.Prefilled >= s.Prompt.Tokens {
		s.Phase, s.decodes = Decoding, true
	}
	return s
}

// withToken returns a copy with one more produced token, the token's text and the hash that selected it.
func (s Sequence) withToken() (Sequence, string, uint64) {
	text, hash, digest := nextToken(s.digest)
	s.digest = digest
	s.Generated++
	return s, text, hash
}

// withArrivedCold returns a copy with arrivedCold set to the argument.
func (s Sequence) withArrivedCold(arrivedCold bool) Sequence {
	s.arrivedCold = arrivedCold
	return s
}

// compareUrgency returns a negative number if s is served before o, for slices.SortFunc: the higher priority first, then the earlier
// arrival.
func (s Sequence) compareUrgency(o Sequence) int {
	if s.Priority != o.Priority {
		return o.Priority - s.Priority
	}
	return int(s.Order - o.Order)
}
