package batcher

import (
	"slices"
	"time"
)

// finishStep completes the current step once it is due. For each sequence it records the processed prompt chunk, then emits a token if
// the sequence decodes.
func finishStep(t *tick, e *Engine) {
	if e.stepEnd.IsZero() || e.stepEnd.After(t.now) {
		return
	}
	for key, s := range e.sequences.All() {
		if s.chunkTokens > 0 {
			if s.Prompt.containsPoison {
				e.crash(t, "poison prompt")
				return
			}
			s = e.finishChunk(s)
			e.sequences.Put(key, s)
		}
		if s.decodes {
			e.finishToken(t, s)
		}
	}
}

func (e *Engine) finishChunk(s Sequence) Sequence {
	size := e.params.BlockTokens
	before := s.Prefilled / size
	s = s.withChunkDone()
	done := min(s.Prefilled/size, len(s.Prompt.Blocks))
	e.cache.store(s.Prompt.Blocks, before, done)
	e.cache.markUsed(s.Prompt.Blocks[:done])
	return s
}

func (e *Engine) finishToken(t *tick, s Sequence) {
	s, text, hash := s.withToken()
	t.emit(Token{Attempt: s.Attempt, Text: text})
	// nextToken selects the text with the low bits of the hash, so higher bits decide whether the response stops.
	stops := e.params.StopOneIn > 0 && (hash>>40)%e.params.StopOneIn == 0
	if !stops && s.Generated < s.MaxTokens {
		e.sequences.Put(s.Attempt, s)
		return
	}
	finish := "length"
	if stops {
		finish = "stop"
	}
	e.removeSequence(s.Attempt)
	if e.coldRequestsLeft > 0 {
		e.coldRequestsLeft--
	}
	t.emit(Finished{Attempt: s.Attempt, Finish: finish, Prompt: s.Prompt.Tokens, Tokens: s.Generated, Cached: s.cachedTokens})
}

// expireSequences ends the sequences whose deadline has passed.
func expireSequences(t *tick, e *Engine) {
	for _, attempt := range e.deadlines.Due(t.now) {
		e.removeSequence(attempt)
		t.emit(Expired{Attempt: attempt})
	}
}

// endColdStart ends the cold start when its time limit or its number of completed requests is reached.
func endColdStart(t *tick, e *Engine) {
	if !e.cold {
		return
	}
	timeElapsed := !e.coldUntil.IsZero() && !e.coldUntil.After(t.now)
	if timeElapsed || (e.params.ColdRequests > 0 && e.coldRequestsLeft == 0) {
		e.cold = false
	}
}

// admitWaiting moves waiting sequences into the free slots of the batch, most urgent first. It does nothing during a step.
func admitWaiting(t *tick, e *Engine) {
	if e.stepEnd.After(t.now) {
		return
	}
	var waiting []Sequence
	free := e.params.MaxBatch
	for _, s := range e.sequences.All() {
		if s.Phase == Waiting {
			waiting = append(waiting, s)
		} else {
			free--
		}
	}
	slices.SortFunc(waiting, Sequence.compareUrgency)
	for _, s := range waiting[:min(len(waiting), max(free, 0))] {
		cachedBlocks := e.cache.matchedPrefix(s.Prompt.Blocks)
		e.cache.markUsed(s.Prompt.Blocks[:cachedBlocks])
		e.sequences.Put(s.Attempt, s.withAdmitted(cachedBlocks*e.params.BlockTokens))
	}
}

// planStep starts the next step. The step processes up to ChunkTokens prompt tokens, most urgent sequence first, and produces a token
// for each decoding sequence.
func planStep(t *tick, e *Engine) {
	if e.stepEnd.After(t.now) {
		return
	}
	var prefilling []Sequence
	decoding := 0
	for key, s := range e.sequences.All() {
		switch s.Phase {
		case Prefilling:
			prefilling = append(prefilling, s)
		case Decoding:
			decoding++
			e.sequences.Put(key, s.withPlan(0, true))
		}
	}
	if decoding+len(prefilling) == 0 {
		e.stepEnd = time.Time{}
		return
	}
	slices.SortFunc(prefilling, Sequence.compareUrgency)
	e.stepEnd = e.stepStart(t.now).Add(e.stepDuration(e.planChunks(prefilling), decoding))
}

// planChunks divides ChunkTokens among the sequences in order and returns the total duration of their chunks before TimeScale is applied.
func (e *Engine) planChunks(prefilling []Sequence) time.Duration {
	var cost time.Duration
	budget := e.params.ChunkTokens
	for _, s := range prefilling {
		chunk := min(budget, s.Prompt.Tokens-s.Prefilled)
		budget -= chunk
		cost += e.params.prefillCost(s.Prefilled, chunk)
		e.sequences.Put(s.Attempt, s.withPlan(chunk, false))
	}
	return cost
}

func (e *Engine) stepStart(now time.Time) time.Time {
	if e.stepEnd.IsZero() || now.Sub(e.stepEnd) > maxStepLag {
		return now
	}
	return e.stepEnd
}

func (e *Engine) stepDuration(prefill time.Duration, decoding int) time.Duration {
	d := max(prefill, e.params.DecodeStep) + time.Duration(decoding)*e.params.DecodePerSequence
	factor := e.slowdown
	if e.cold {
		factor *= e.params.ColdSlowdown
	}
	// The minimum of 1 µs bounds the number of steps that one tick runs, whatever the time scale.
	return max(e.params.scaled(time.Duration(float64(d)*factor)), time.Microsecond)
}
