package batcher

// applyEvents applies the events of the tick in order, up to a crash.
func applyEvents(t *tick, e *Engine) {
	for _, event := range t.events {
		if e.crashed {
			return
		}
		switch event := event.(type) {
		case Submit:
			e.submit(t, event)
		case Cancel:
			if _, ok := e.sequences.Get(event.Attempt); ok {
				e.removeSequence(event.Attempt)
				t.emit(Cancelled(event))
			}
		case StartCold:
			e.beginColdStart(t.now)
			for key, s := range e.sequences.All() {
				e.sequences.Put(key, s.withArrivedCold(false))
			}
		case Slow:
			e.slowdown = event.Factor
		case MakeExport:
			e.makeExport(event)
		case DropExport:
			e.dropExport(event.ID)
		case Import:
			e.cache.store(event.Blocks, 0, len(event.Blocks))
		}
	}
}

func (e *Engine) submit(t *tick, event Submit) {
	s := Sequence{
		Attempt: event.Attempt, Node: event.Node, Priority: event.Priority, Prompt: event.Prompt, MaxTokens: event.MaxTokens,
		Order: e.nextOrder, digest: event.Prompt.digest, arrivedCold: e.cold,
	}
	if reason := e.refusalReason(s); reason != 0 {
		t.emit(Refused{Attempt: s.Attempt, Reason: reason})
		return
	}
	e.nextOrder++
	e.sequences.Put(s.Attempt, s)
	if !event.ExpiresAt.IsZero() {
		e.deadlines.Set(s.Attempt, event.ExpiresAt)
	}
	if e.cold && e.countColdArrivals() > e.params.ColdLimit {
		e.crash(t, "overloaded during cold start")
		return
	}
	t.emit(Accepted{Attempt: s.Attempt, Cold: e.cold})
}

// refusalReason returns why a sequence cannot run, or zero if it can.
func (e *Engine) refusalReason(s Sequence) Reason {
	_, exists := e.sequences.Get(s.Attempt)
	switch {
	case s.Prompt.Tokens < 1 || s.MaxTokens < 1:
		return Invalid
	case exists:
		return Duplicate
	case s.Reserved() > e.params.Capacity:
		return TooLong
	case s.Reserved()+e.usedTokens() > e.params.Capacity:
		return Full
	default:
		return 0
	}
}

// countColdArrivals returns the number of sequences that arrived during the current cold start. Sequences that ran before it began are
// not counted, because otherwise StartCold alone would crash a busy engine.
func (e *Engine) countColdArrivals() int {
	count := 0
	for _, s := range e.sequences.All() {
		if s.arrivedCold {
			count++
		}
	}
	return count
}
