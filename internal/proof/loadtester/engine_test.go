package loadtester

import (
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// engine is a model engine by its published figures: it works in passes, reads parts of other engines' prompts before its own, and writes one
// event per pass for each request that has been read.
type engine struct {
	clock    *clock
	endpoint modeler.Endpoint
	profile  modeler.EngineProfile
	// pace returns the factor by which work takes longer at a time.
	pace func(time.Time) float64
	// admitted holds the requests that occupy a slot; parts the prompts, or parts of them, that have not been read, in order of their arrival.
	admitted []*run
	parts    []*part
	passing  bool
}

// run is one attempt of a request on an engine.
type run struct {
	request modeler.Request
	engines []*engine
	// unread is the number of parts that have not been read.
	unread int
	// events is the number of events still to be written. ended is set at its end or when it was cancelled.
	events  int
	writing bool
	ended   bool
	// onEvent is called for each event; last is set for the last one.
	onEvent func(last bool)
}

// part is a part of a prompt that an engine reads.
type part struct {
	run    *run
	tokens float64
	// perToken is the reading time of one token, including its share of the attention cost.
	perToken time.Duration
	helps    bool
}

// start begins a run on the first of its engines, and reports whether it has a free slot.
func (e *engine) start(r *run) bool {
	if len(e.admitted) >= e.endpoint.Slots {
		return false
	}
	e.admitted = append(e.admitted, r)
	r.unread = len(r.engines)
	tokens := float64(r.request.Prompt) / float64(len(r.engines))
	linear := float64(time.Second) / e.profile.PrefillRate
	pairs := float64(r.request.Prompt) / 2 / 1e6 * float64(e.profile.PerMillionPairs)
	for _, reader := range r.engines {
		p := &part{run: r, tokens: tokens, perToken: time.Duration(linear + pairs), helps: reader != e}
		at := len(reader.parts)
		if p.helps {
			at = slices.IndexFunc(reader.parts, func(other *part) bool { return !other.helps })
			if at < 0 {
				at = len(reader.parts)
			}
		}
		reader.parts = slices.Insert(reader.parts, at, p)
		reader.pass()
	}
	return true
}

// cancel ends a run.
func (r *run) cancel() {
	r.ended = true
	for _, e := range r.engines {
		e.parts = slices.DeleteFunc(e.parts, func(p *part) bool { return p.run == r })
		e.admitted = slices.DeleteFunc(e.admitted, func(other *run) bool { return other == r })
	}
}

// pass begins the next pass unless one is in progress or there is no work.
func (e *engine) pass() {
	if e.passing {
		return
	}
	var writers []*run
	for _, r := range e.admitted {
		if r.writing {
			writers = append(writers, r)
		}
	}
	if len(writers) == 0 && len(e.parts) == 0 {
		return
	}
	e.passing = true
	steps, duration := 1, e.profile.Step
	if len(writers) > 0 {
		steps, duration = e.profile.Stride, e.profile.BasePassTime()
		for _, w := range writers {
			duration += e.profile.SequencePassTime(w.request.Prompt)
		}
	}
	budget := float64(steps * e.profile.Chunk)
	var read []*part
	for _, p := range e.parts {
		taken := min(budget, p.tokens)
		if taken <= 0 {
			break
		}
		budget -= taken
		p.tokens -= taken
		duration += time.Duration(taken * float64(p.perToken))
		read = append(read, p)
	}
	duration = time.Duration(float64(duration) * e.pace(e.clock.now))
	e.clock.after(duration, func() { e.endPass(writers, read) })
}

func (e *engine) endPass(writers []*run, read []*part) {
	e.passing = false
	for _, w := range writers {
		w.write()
	}
	for _, p := range read {
		if p.tokens > 0 || p.run.ended {
			continue
		}
		e.parts = slices.DeleteFunc(e.parts, func(other *part) bool { return other == p })
		if p.run.unread--; p.run.unread == 0 {
			p.run.writing = true
			p.run.write()
			p.run.engines[0].pass()
		}
	}
	e.pass()
}

// write writes one event.
func (r *run) write() {
	if r.ended {
		return
	}
	r.events--
	last := r.events == 0
	if last {
		r.cancel()
	}
	r.onEvent(last)
}
