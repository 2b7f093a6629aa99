package admitter

import (
	"strings"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// attemptSeparator stands between the request id and the number of the attempt in an attempt id.
const attemptSeparator = "#"

// requestOf returns the request of an attempt.
func requestOf(attempt modeler.AttemptID) modeler.RequestID {
	id, _, _ := strings.Cut(string(attempt), attemptSeparator)
	return modeler.RequestID(id)
}

// AttemptName builds the id of an attempt from its request and a suffix that is unique to the send.
func AttemptName(request modeler.RequestID, suffix string) modeler.AttemptID {
	return modeler.AttemptID(string(request) + attemptSeparator + suffix)
}

// refuse ends a request with a refusal.
func (s *System[P]) refuse(tick *modeler.Tick, world *modeler.World, r modeler.Request, refusal *modeler.Refusal) {
	s.reply(tick, r.ID, modeler.Decision{Refusal: refusal})
	s.remove(world, r.ID)
}

func (s *System[P]) remove(world *modeler.World, id modeler.RequestID) {
	if r, ok := world.Requests.Get(id); ok {
		s.refund(world, r)
	}
	s.asks.Clear(id)
	s.ends.Clear(id)
	world.Requests.Delete(id)
}

// end releases the permit and the charge of a request on any way out.
func (s *System[P]) end(tick *modeler.Tick, world *modeler.World, e modeler.RequestEnded) {
	r, ok := world.Requests.Get(e.Request)
	if !ok {
		return
	}
	if r.Attempt != "" {
		s.release(tick, world, r, modeler.PermitRelease{Attempt: r.Attempt, Endpoint: r.Endpoint, Completed: e.Completed})
	}
	s.remove(world, r.ID)
}

// retry asks for another attempt after a failure, from the tokens delivered so far.
func (s *System[P]) retry(tick *modeler.Tick, world *modeler.World, e modeler.RetryAsked) {
	r, ok := world.Requests.Get(e.Request)
	if !ok {
		s.reply(tick, e.Request, modeler.Decision{Refusal: &modeler.Refusal{
			Code: modeler.CodeDeadlineExceeded, Run: modeler.Unknown, Message: "the request has ended",
		}})
		return
	}
	s.release(tick, world, r, modeler.PermitRelease{Attempt: r.Attempt, Endpoint: r.Endpoint, Died: e.Died})
	// A request that did not reach the endpoint cannot have crashed it.
	r = r.WithExcluded(r.Endpoint, e.Died && !e.NotSent).WithProgress(e.Delivered)
	world.Requests.Put(r.ID, r)
	if r.Deaths >= maxDeaths {
		s.quarantine(tick, world, r)
		return
	}
	if !s.retries.take(e.Delivered > 0) {
		s.refuse(tick, world, r, &modeler.Refusal{
			Code: modeler.CodeEndpointFailed, Run: modeler.Unknown, RetryAfter: retryAfter,
			Message: "the endpoint failed and the retry budget is used up",
		})
		return
	}
	s.postpone(tick, world, r, s.jitter(tick, r))
}

// jitter spreads retries of requests that failed together.
func (s *System[P]) jitter(tick *modeler.Tick, r modeler.Request) time.Duration {
	return time.Duration(tick.Rand.Int64N(int64(r.Attempts+1) * int64(retryBackoff)))
}

// quarantine tells all nodes at once, because a caller that repeats the request reaches another node before a round of gossip does.
func (s *System[P]) quarantine(tick *modeler.Tick, world *modeler.World, r modeler.Request) {
	world.Quarantined.Put(r.Fingerprint, tick.Now.Add(quarantineTime))
	news := modeler.Digest{Quarantined: []modeler.Quarantine{{Fingerprint: r.Fingerprint, Remaining: quarantineTime}}}
	for id, node := range world.Nodes.All() {
		if id != world.Self.ID && node.Live() {
			tick.Send(id, node.Address, news)
		}
	}
	s.refuse(tick, world, r, &modeler.Refusal{
		Code: modeler.CodeRequestQuarantined, Run: modeler.Unknown, RetryAfter: quarantineTime,
		Message: "endpoints died while they ran this request",
	})
}

func (s *System[P]) learnQuarantine(tick *modeler.Tick, world *modeler.World, entries []modeler.Quarantine) {
	for _, q := range entries {
		until := tick.Now.Add(q.Remaining)
		if known, ok := world.Quarantined.Get(q.Fingerprint); !ok || until.After(known) {
			world.Quarantined.Put(q.Fingerprint, until)
		}
	}
}

func (s *System[P]) expireQuarantine(tick *modeler.Tick, world *modeler.World) {
	for fingerprint, until := range world.Quarantined.All() {
		if !tick.Now.Before(until) {
			world.Quarantined.Delete(fingerprint)
		}
	}
}

// Quarantines returns the entries to share with other nodes.
func Quarantines(now time.Time, world *modeler.World) []modeler.Quarantine {
	var entries []modeler.Quarantine
	for fingerprint, until := range world.Quarantined.All() {
		if now.Before(until) {
			entries = append(entries, modeler.Quarantine{Fingerprint: fingerprint, Remaining: until.Sub(now)})
		}
	}
	return entries
}

// confirm passes what the endpoint showed of an attempt on to its holder.
func (s *System[P]) confirm(tick *modeler.Tick, world *modeler.World, attempt modeler.AttemptID, m modeler.PermitConfirm) {
	r, ok := world.Requests.Get(requestOf(attempt))
	if !ok || r.Attempt != attempt {
		return
	}
	e, ok := world.Endpoints.Get(r.Endpoint)
	if !ok {
		return
	}
	if m.FirstToken {
		m.BootID, m.Cold = r.BootID, r.ReportedCold
	} else {
		world.Requests.Put(r.ID, r.WithHeader(m.BootID, m.Cold))
	}
	m.Endpoint = e.ID
	if e.Holder == world.Self.ID {
		s.permits.Confirm(tick, world, m)
		return
	}
	holder, _ := world.Nodes.Get(e.Holder)
	tick.Emit(modeler.SendPeer{To: e.Holder, Address: holder.Address, Messages: []modeler.Message{m}})
}

// release gives a permit back to the endpoint's holder, again and again until it is acknowledged.
func (s *System[P]) release(tick *modeler.Tick, world *modeler.World, r modeler.Request, m modeler.PermitRelease) {
	e, ok := world.Endpoints.Get(r.Endpoint)
	if !ok || e.Holder == "" {
		return
	}
	if e.Holder == world.Self.ID {
		s.permits.Release(tick, world, m)
		return
	}
	holder, _ := world.Nodes.Get(e.Holder)
	s.releases[m.Attempt] = release{message: m, node: e.Holder, address: holder.Address}
	s.releaseAt.Set(m.Attempt, tick.Now)
}

// releaseUnknown gives back a permit that no request waits for.
func (s *System[P]) releaseUnknown(tick *modeler.Tick, world *modeler.World, m modeler.PermitGiven) {
	r, running := world.Requests.Get(requestOf(m.Attempt))
	if running && r.Attempt == m.Attempt {
		return
	}
	s.release(tick, world, modeler.Request{Endpoint: m.Endpoint}, modeler.PermitRelease{Attempt: m.Attempt, Endpoint: m.Endpoint})
}

// resendReleases sends due releases. A release whose holder is gone ends: the next holder learns from the engine what runs.
func (s *System[P]) resendReleases(tick *modeler.Tick, world *modeler.World) {
	for _, attempt := range s.releaseAt.Due(tick.Now) {
		r, ok := s.releases[attempt]
		if !ok {
			continue
		}
		if n, known := world.Nodes.Get(r.node); known && n.Gone() {
			delete(s.releases, attempt)
			continue
		}
		tick.Emit(modeler.SendPeer{To: r.node, Address: r.address, Messages: []modeler.Message{r.message}})
		s.releaseAt.Set(attempt, tick.Now.Add(releaseInterval))
	}
	if next, ok := s.releaseAt.Next(); ok {
		tick.Wake(next)
	}
}
