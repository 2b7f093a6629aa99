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

// ageStep is the waiting time that lifts a request by one length class, so that long prompts are served in the end.
const ageStep = 2 * time.Second

// enqueue adds a request to the waiting list.
func (s *System[P]) enqueue(world *modeler.World, r modeler.Request) {
	world.Requests.Put(r.ID, r)
	if !slices.Contains(s.waiting, r.ID) {
		s.waiting = append(s.waiting, r.ID)
	}
}

// rank orders waiting requests: shorter classes first, lowered by age, then by arrival.
func rank(now time.Time, r modeler.Request) time.Duration {
	return time.Duration(r.Class())*ageStep - now.Sub(r.ArrivedAt)
}

// serve tries to place every waiting request, in order.
func (s *System[P]) serve(tick *modeler.Tick, world *modeler.World) {
	rows := s.sortWaiting(tick.Now, world)
	wanted := map[modeler.MemberID]modeler.Tokens{}
	for _, r := range rows {
		if refusal := s.overdue(tick, world, r); refusal != nil {
			s.refuse(tick, world, r, refusal)
			continue
		}
		if tick.Now.Before(r.RetryAt) {
			tick.Wake(r.RetryAt)
			continue
		}
		if !s.charge(world, r) {
			wanted[r.Member] += r.Cost()
			continue
		}
		r, _ = world.Requests.Get(r.ID)
		s.place(tick, world, r)
	}
	s.setWanted(tick, world, wanted)
}

// sortWaiting drops entries that no longer wait and returns the rows in order of service.
func (s *System[P]) sortWaiting(now time.Time, world *modeler.World) []modeler.Request {
	rows := make([]modeler.Request, 0, len(s.waiting))
	for _, id := range s.waiting {
		if r, ok := world.Requests.Get(id); ok && r.Phase == modeler.Queued {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b modeler.Request) int {
		return cmp.Or(cmp.Compare(rank(now, a), rank(now, b)), cmp.Compare(a.ID, b.ID))
	})
	s.waiting = s.waiting[:0]
	for _, r := range rows {
		s.waiting = append(s.waiting, r.ID)
	}
	return rows
}

// overdue returns why a waiting request must be given up, or nil.
func (s *System[P]) overdue(tick *modeler.Tick, world *modeler.World, r modeler.Request) *modeler.Refusal {
	run := modeler.NotRun
	if r.Attempts > 0 {
		run = modeler.Unknown
	}
	if !tick.Now.Before(r.Deadline) {
		return &modeler.Refusal{Code: modeler.CodeDeadlineExceeded, Run: run, Message: "the request waited past its deadline"}
	}
	if refusal := quarantined(tick, world, r, run); refusal != nil {
		return refusal
	}
	if r.Attempts > 0 {
		tick.Wake(r.Deadline)
		return nil
	}
	if world.Fenced(tick.Now) {
		return s.check(tick, world, r)
	}
	giveUp := r.ArrivedAt.Add(s.patience(world, r))
	if tick.Now.Before(giveUp) {
		tick.Wake(giveUp)
		return nil
	}
	return s.giveUp(tick, world, r)
}

// giveUp tells what a request has waited for in vain.
func (s *System[P]) giveUp(tick *modeler.Tick, world *modeler.World, r modeler.Request) *modeler.Refusal {
	switch {
	case r.Charged == 0 && !s.covered(world, r):
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

// patience is how long a request may wait for its place: the bound on the first token, and for longer prompts as long as their own processing.
func (s *System[P]) patience(world *modeler.World, r modeler.Request) time.Duration {
	weights := world.Self.Weights
	wait := weights.FirstTokenTimeout
	if r.Class() > modeler.Short {
		wait += 2 * router.PrefillTime(weights, r.Prompt)
	}
	return min(wait, r.Deadline.Sub(r.ArrivedAt))
}

func (s *System[P]) covered(world *modeler.World, r modeler.Request) bool {
	m, ok := world.Members.Get(r.Member)
	return ok && m.Free() >= r.Cost()
}

// charge takes the request's cost from the member's free balance on this node, unless it is charged already.
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

// refund gives the charge of a request back.
func (s *System[P]) refund(world *modeler.World, r modeler.Request) {
	if r.Charged == 0 {
		return
	}
	lender.Refund(world, r.Member, r.Charged)
	world.Requests.Put(r.ID, r.WithCharged(0))
}

// setWanted tells the share system what waiting requests lack. That system runs earlier in a tick, so another one must follow.
func (s *System[P]) setWanted(tick *modeler.Tick, world *modeler.World, wanted map[modeler.MemberID]modeler.Tokens) {
	for member, amount := range wanted {
		if m, _ := world.Members.Get(member); m.Wanted != amount {
			// The share system lowers what is wanted with each loan, and shorter requests may have used the loan.
			lender.SetWanted(world, member, amount)
			tick.Wake(tick.Now)
		}
	}
	for member := range s.wanting {
		if _, still := wanted[member]; !still {
			lender.SetWanted(world, member, 0)
		}
	}
	s.wanting = wanted
}
