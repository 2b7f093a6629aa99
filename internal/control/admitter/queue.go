package admitter

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/lender"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/router"
)

// agingStep is the waiting time that moves a request ahead by one length class, so that long prompts are not starved.
const agingStep = 2 * time.Second

// enqueue stores a request and adds it to the queue unless it is there already.
func (s *System[P]) enqueue(world *modeler.World, r modeler.Request) {
	world.Requests.Put(r.ID, r)
	if !slices.Contains(s.queue, r.ID) {
		s.queue = append(s.queue, r.ID)
	}
}

// queueRank returns the sort key of a queued request, lowest first: one agingStep for each length class, less the time waited.
func queueRank(now time.Time, r modeler.Request) time.Duration {
	return time.Duration(r.Class())*agingStep - now.Sub(r.ArrivedAt)
}

// placeQueued tries to place every queued request, in ascending order of queueRank.
func (s *System[P]) placeQueued(tick *modeler.Tick, world *modeler.World) {
	queued := s.sortQueue(tick.Now, world)
	unmetCosts := map[modeler.MemberID]modeler.Tokens{}
	for _, r := range queued {
		if refusal := s.checkQueued(tick, world, r); refusal != nil {
			s.refuse(tick, world, r, refusal)
			continue
		}
		if tick.Now.Before(r.RetryAt) {
			tick.WakeAt(r.RetryAt)
			continue
		}
		if !s.charge(world, r) {
			unmetCosts[r.Member] += r.Cost()
			continue
		}
		r, _ = world.Requests.Get(r.ID)
		s.place(tick, world, r)
	}
	s.setUnmetCosts(tick, world, unmetCosts)
}

// sortQueue removes requests that are no longer queued from the queue and returns the others in ascending order of queueRank.
func (s *System[P]) sortQueue(now time.Time, world *modeler.World) []modeler.Request {
	queued := make([]modeler.Request, 0, len(s.queue))
	for _, id := range s.queue {
		if r, ok := world.Requests.Get(id); ok && r.Phase == modeler.Queued {
			queued = append(queued, r)
		}
	}
	slices.SortFunc(queued, func(a, b modeler.Request) int {
		return cmp.Or(cmp.Compare(queueRank(now, a), queueRank(now, b)), cmp.Compare(a.ID, b.ID))
	})
	s.queue = s.queue[:0]
	for _, r := range queued {
		s.queue = append(s.queue, r.ID)
	}
	return queued
}

// checkQueued returns the refusal of a queued request that must not wait any longer, or nil.
func (s *System[P]) checkQueued(tick *modeler.Tick, world *modeler.World, r modeler.Request) *modeler.Refusal {
	run := modeler.NotRun
	if r.Attempts > 0 {
		run = modeler.Unknown
	}
	if !tick.Now.Before(r.Deadline) {
		return &modeler.Refusal{Code: modeler.CodeDeadlineExceeded, Run: run, Message: "the request waited past its deadline"}
	}
	if refusal := checkQuarantine(tick, world, r, run); refusal != nil {
		return refusal
	}
	if r.Attempts > 0 {
		tick.WakeAt(r.Deadline)
		return nil
	}
	if world.Fenced(tick.Now) {
		return s.checkRequest(tick, world, r)
	}
	latest := r.ArrivedAt.Add(s.maxWait(world, r))
	if tick.Now.Before(latest) {
		tick.WakeAt(latest)
		return nil
	}
	return s.waitRefusal(tick, world, r)
}

// waitRefusal returns a refusal that names what the request has waited for: share, an endpoint in service or free capacity.
func (s *System[P]) waitRefusal(tick *modeler.Tick, world *modeler.World, r modeler.Request) *modeler.Refusal {
	switch {
	case r.Charged == 0 && !s.shareCovers(world, r):
		return &modeler.Refusal{
			Code: modeler.CodeShareExhausted, RetryAfter: retryAfter, Message: fmt.Sprintf("the share of %q is in use", r.Member),
		}
	case len(s.candidates(tick.Now, world, r)) == 0:
		return &modeler.Refusal{
			Code: modeler.CodeNoEndpoint, RetryAfter: retryAfter, Message: fmt.Sprintf("no endpoint in service serves %q now", r.Target),
		}
	default:
		return &modeler.Refusal{
			Code: modeler.CodeOverloaded, RetryAfter: retryAfter, Message: "no endpoint can start the request in time",
		}
	}
}

// maxWait returns how long a request may wait to be placed: FirstTokenTimeout, and for prompts longer than short twice their
// estimated prefill time in addition, but not past the deadline.
func (s *System[P]) maxWait(world *modeler.World, r modeler.Request) time.Duration {
	weights := world.Self.Weights
	wait := weights.FirstTokenTimeout
	if r.Class() > modeler.Short {
		wait += 2 * router.PrefillTime(weights, r.Prompt)
	}
	return min(wait, r.Deadline.Sub(r.ArrivedAt))
}

// shareCovers reports whether the member's free balance on this node covers the request's cost.
func (s *System[P]) shareCovers(world *modeler.World, r modeler.Request) bool {
	m, ok := world.Members.Get(r.Member)
	return ok && m.Free() >= r.Cost()
}

// charge charges the request's cost to the member's free balance on this node, unless it is charged already, and reports whether the
// request is charged.
func (s *System[P]) charge(world *modeler.World, r modeler.Request) bool {
	if r.Charged > 0 {
		return true
	}
	if !lender.Charge(world, r.Member, r.Cost()) {
		return false
	}
	world.Requests.Put(r.ID, r.WithCharged(r.Cost()))
	return true
}

// refund returns the charge of a request to the member's free balance.
func (s *System[P]) refund(world *modeler.World, r modeler.Request) {
	if r.Charged == 0 {
		return
	}
	lender.Refund(world, r.Member, r.Charged)
	world.Requests.Put(r.ID, r.WithCharged(0))
}

// setUnmetCosts passes the total cost of each member's requests that could not be charged to the lender. The lender runs earlier in a
// tick, so another tick must follow.
func (s *System[P]) setUnmetCosts(tick *modeler.Tick, world *modeler.World, unmetCosts map[modeler.MemberID]modeler.Tokens) {
	for member, amount := range unmetCosts {
		if m, _ := world.Members.Get(member); m.Wanted != amount {
			// The lender lowers the wanted amount with each transfer received, and shorter requests may have used the transferred
			// balance.
			lender.SetWanted(world, member, amount)
			tick.WakeAt(tick.Now)
		}
	}
	for member := range s.unmetCosts {
		if _, still := unmetCosts[member]; !still {
			lender.SetWanted(world, member, 0)
		}
	}
	s.unmetCosts = unmetCosts
}
