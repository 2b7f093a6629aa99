package admitter

import (
	"strings"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// attemptSeparator separates the request id from the suffix in an attempt id.
const attemptSeparator = "#"

// requestIDOf returns the id of the request to which an attempt belongs.
func requestIDOf(attempt modeler.AttemptID) modeler.RequestID {
	id, _, _ := strings.Cut(string(attempt), attemptSeparator)
	return modeler.RequestID(id)
}

// NewAttemptID builds the id of an attempt from its request and a suffix that is unique to the attempt.
func NewAttemptID(request modeler.RequestID, suffix string) modeler.AttemptID {
	return modeler.AttemptID(string(request) + attemptSeparator + suffix)
}

// refuse replies with a refusal and removes the request.
func (s *System[P]) refuse(tick *modeler.Tick, world *modeler.World, r modeler.Request, refusal *modeler.Refusal) {
	s.reply(tick, r.ID, modeler.Decision{Refusal: refusal})
	s.remove(world, r.ID)
}

func (s *System[P]) remove(world *modeler.World, id modeler.RequestID) {
	if r, ok := world.Requests.Get(id); ok {
		s.refund(world, r)
	}
	s.permitDeadlines.Clear(id)
	s.requestDeadlines.Clear(id)
	world.Requests.Delete(id)
}

// endRequest releases the permit and refunds the charge of a request, however it ended.
func (s *System[P]) endRequest(tick *modeler.Tick, world *modeler.World, e modeler.RequestEnded) {
	r, ok := world.Requests.Get(e.Request)
	if !ok {
		return
	}
	if r.Attempt != "" {
		s.releasePermit(tick, world, r, modeler.PermitRelease{Attempt: r.Attempt, Endpoint: r.Endpoint, Completed: e.Completed})
	}
	s.remove(world, r.ID)
}

// retryRequest queues another attempt after a failed one, to continue from the tokens delivered so far. It refuses the request
// once it has crashed too many endpoints or when the retry budget is used up.
func (s *System[P]) retryRequest(tick *modeler.Tick, world *modeler.World, e modeler.RetryRequested) {
	r, ok := world.Requests.Get(e.Request)
	if !ok {
		s.reply(tick, e.Request, modeler.Decision{Refusal: &modeler.Refusal{
			Code: modeler.CodeDeadlineExceeded, Run: modeler.Unknown, Message: "the request has ended",
		}})
		return
	}
	s.releasePermit(tick, world, r, modeler.PermitRelease{Attempt: r.Attempt, Endpoint: r.Endpoint, Died: e.Died})
	// A request that did not reach the endpoint cannot have crashed it.
	r = r.WithExcluded(r.Endpoint, e.Died && !e.NotSent).WithProgress(e.Delivered)
	world.Requests.Put(r.ID, r)
	if r.Deaths >= maxCrashedEndpoints {
		s.quarantine(tick, world, r)
		return
	}
	if !s.retryBudget.spend(e.Delivered > 0) {
		s.refuse(tick, world, r, &modeler.Refusal{
			Code: modeler.CodeEndpointFailed, Run: modeler.Unknown, RetryAfter: retryAfter,
			Message: "the endpoint failed and the retry budget is used up",
		})
		return
	}
	s.requeue(tick, world, r, s.retryJitter(tick, r))
}

// retryJitter returns a random delay, so that requests that failed together are not retried together.
func (s *System[P]) retryJitter(tick *modeler.Tick, r modeler.Request) time.Duration {
	return time.Duration(tick.Rand.Int64N(int64(r.Attempts+1) * int64(retryBackoff)))
}

// quarantine refuses the request and its fingerprint. It sends the quarantine to all live nodes at once, because a caller that
// repeats the request reaches another node before the next round of gossip.
func (s *System[P]) quarantine(tick *modeler.Tick, world *modeler.World, r modeler.Request) {
	world.Quarantined.Put(r.Fingerprint, tick.Now.Add(quarantineDuration))
	digest := modeler.Digest{Quarantined: []modeler.Quarantine{{Fingerprint: r.Fingerprint, Remaining: quarantineDuration}}}
	for id, node := range world.Nodes.All() {
		if id != world.Self.ID && node.Live() {
			tick.Send(id, node.Address, digest)
		}
	}
	s.refuse(tick, world, r, &modeler.Refusal{
		Code: modeler.CodeRequestQuarantined, Run: modeler.Unknown, RetryAfter: quarantineDuration,
		Message: "endpoints died while they ran this request",
	})
}

// mergeQuarantines applies quarantines received from another node. If both nodes list a fingerprint, the later expiry applies.
func (s *System[P]) mergeQuarantines(tick *modeler.Tick, world *modeler.World, entries []modeler.Quarantine) {
	for _, q := range entries {
		until := tick.Now.Add(q.Remaining)
		if known, ok := world.Quarantined.Get(q.Fingerprint); !ok || until.After(known) {
			world.Quarantined.Put(q.Fingerprint, until)
		}
	}
}

func (s *System[P]) expireQuarantines(tick *modeler.Tick, world *modeler.World) {
	for fingerprint, until := range world.Quarantined.All() {
		if !tick.Now.Before(until) {
			world.Quarantined.Delete(fingerprint)
		}
	}
}

// Quarantines returns the quarantines that have not ended, to be sent to other nodes.
func Quarantines(now time.Time, world *modeler.World) []modeler.Quarantine {
	var entries []modeler.Quarantine
	for fingerprint, until := range world.Quarantined.All() {
		if now.Before(until) {
			entries = append(entries, modeler.Quarantine{Fingerprint: fingerprint, Remaining: until.Sub(now)})
		}
	}
	return entries
}

// confirmAttempt reports the arrival of an attempt's response header or first token to the endpoint's holder.
func (s *System[P]) confirmAttempt(tick *modeler.Tick, world *modeler.World, attempt modeler.AttemptID, m modeler.PermitConfirm) {
	r, ok := world.Requests.Get(requestIDOf(attempt))
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

// releasePermit returns a permit to the endpoint's holder. The release is resent until it is acknowledged.
func (s *System[P]) releasePermit(tick *modeler.Tick, world *modeler.World, r modeler.Request, m modeler.PermitRelease) {
	e, ok := world.Endpoints.Get(r.Endpoint)
	if !ok || e.Holder == "" {
		return
	}
	if e.Holder == world.Self.ID {
		s.permits.Release(tick, world, m)
		return
	}
	holder, _ := world.Nodes.Get(e.Holder)
	s.pendingReleases[m.Attempt] = pendingRelease{message: m, holder: e.Holder, address: holder.Address}
	s.releaseResends.Set(m.Attempt, tick.Now)
}

// releaseUnclaimed releases a permit that belongs to no current attempt of this node's requests.
func (s *System[P]) releaseUnclaimed(tick *modeler.Tick, world *modeler.World, m modeler.PermitGiven) {
	r, ok := world.Requests.Get(requestIDOf(m.Attempt))
	if ok && r.Attempt == m.Attempt {
		return
	}
	s.releasePermit(tick, world, modeler.Request{Endpoint: m.Endpoint}, modeler.PermitRelease{Attempt: m.Attempt, Endpoint: m.Endpoint})
}

// resendReleases sends the releases that are due. A release whose holder is gone is dropped: the next holder reads the running
// attempts from the engine's report.
func (s *System[P]) resendReleases(tick *modeler.Tick, world *modeler.World) {
	for _, attempt := range s.releaseResends.Due(tick.Now) {
		r, ok := s.pendingReleases[attempt]
		if !ok {
			continue
		}
		if n, known := world.Nodes.Get(r.holder); known && n.Gone() {
			delete(s.pendingReleases, attempt)
			continue
		}
		tick.Emit(modeler.SendPeer{To: r.holder, Address: r.address, Messages: []modeler.Message{r.message}})
		s.releaseResends.Set(attempt, tick.Now.Add(releaseResendInterval))
	}
	if next, ok := s.releaseResends.Next(); ok {
		tick.WakeAt(next)
	}
}
