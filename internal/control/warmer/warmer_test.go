package warmer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

const (
	self  modeler.NodeID = "a/1"
	other modeler.NodeID = "b/1"
)

var start = time.Unix(1_000, 0)

// harness holds one node's system and state with one held endpoint.
type harness struct {
	system *System
	world  *modeler.World
	now    time.Time
}

func newHarness(t *testing.T, endpoint modeler.Endpoint) *harness {
	t.Helper()
	world := modeler.NewWorld(modeler.Self{
		Sender:  modeler.Sender{ID: self, DataCentre: "east"},
		Weights: modeler.Weights{LongPart: 0.5, WarmCompletions: 2, MaxRunning: 4, PrefillRate: 10_000},
	})
	world.FenceUntil = start.Add(time.Hour)
	for _, id := range []modeler.NodeID{self, other} {
		world.Nodes.Put(id, modeler.Node{ID: id, Address: "127.0.0.1:1", DataCentre: "east", Registered: true})
	}
	h := &harness{system: New(Options{}), world: world, now: start}
	h.run(modeler.EndpointsListed{Endpoints: []modeler.Endpoint{endpoint}})
	h.applyRecords(modeler.HoldClaimed{Endpoint: endpoint.ID, Term: 1, Node: self})
	h.run(modeler.EndpointReported{Endpoint: endpoint.ID, BootID: "boot", TakenAt: h.now})
	return h
}

func (h *harness) run(events ...modeler.Event) []modeler.Effect {
	tick := &modeler.Tick{Now: h.now, Events: events, Rand: rand.New(rand.NewPCG(1, 1))}
	h.system.Run(tick, h.world)
	return tick.Effects()
}

// applyRecords raises the events that the detector raises for applied records, then the end of the stream.
func (h *harness) applyRecords(values ...any) {
	events := make([]modeler.Event, 0, len(values)+1)
	for _, v := range values {
		events = append(events, modeler.RecordApplied{Record: modeler.Record{Value: v}})
	}
	h.run(append(events, modeler.RecordsRead{Stream: modeler.StreamControl, AtEnd: true, AskedAt: h.now})...)
}

func (h *harness) ask(n int, ask modeler.PermitAsk) modeler.Message {
	ask.Attempt, ask.Endpoint = modeler.AttemptID(fmt.Sprintf("r%d#1", n)), "e"
	ask.Remaining = 10 * time.Second
	if ask.Seen == (modeler.SeenLoad{}) {
		ask.Seen.Any = true
	}
	return h.system.Ask(&modeler.Tick{Now: h.now}, h.world, other, ask)
}

func engine() modeler.Endpoint {
	return modeler.Endpoint{ID: "e", Capacity: 1_000, ColdLimit: 2, DataCentre: "east", Models: []string{"m"}}
}

// TestPermitLimits guards against a permit that exceeds a limit of the endpoint.
func TestPermitLimits(t *testing.T) {
	cases := []struct {
		name string
		warm bool
		// given is the number of earlier permits; confirmed is how many of them have a response header.
		given, confirmed int
		earlier, ask     modeler.PermitAsk
		change           func(modeler.Endpoint) modeler.Endpoint
		want             modeler.PermitReason
		granted          bool
	}{
		{name: "cold and empty", ask: modeler.PermitAsk{Tokens: 10}, granted: true},
		{name: "cold and full", given: 2, confirmed: 2, ask: modeler.PermitAsk{Tokens: 10}, want: modeler.ColdFull},
		{name: "warm, earlier ones unconfirmed", warm: true, given: 2, ask: modeler.PermitAsk{Tokens: 10}, want: modeler.Unconfirmed},
		{name: "warm, earlier ones confirmed", warm: true, given: 2, confirmed: 2, ask: modeler.PermitAsk{Tokens: 10}, granted: true},
		{name: "memory", warm: true, given: 1, confirmed: 1, earlier: modeler.PermitAsk{Tokens: 600}, ask: modeler.PermitAsk{Tokens: 500}, want: modeler.NoMemory},
		{name: "long prompts over their limit", warm: true, given: 1, confirmed: 1, earlier: modeler.PermitAsk{Tokens: 300, Class: modeler.Long}, ask: modeler.PermitAsk{Tokens: 300, Class: modeler.Huge}, want: modeler.LongFull},
		{name: "first long prompt over the limit", warm: true, ask: modeler.PermitAsk{Tokens: 900, Class: modeler.Huge}, granted: true},
		{name: "second suspect", warm: true, given: 1, confirmed: 1, earlier: modeler.PermitAsk{Suspect: true}, ask: modeler.PermitAsk{Suspect: true}, want: modeler.SuspectFull},
		{name: "unseen long prompt", warm: true, given: 1, confirmed: 1, earlier: modeler.PermitAsk{Prompt: 100, Class: modeler.Long}, ask: modeler.PermitAsk{Seen: modeler.SeenLoad{Running: 1}}, want: modeler.Outdated},
		{name: "seen long prompt", warm: true, given: 1, confirmed: 1, earlier: modeler.PermitAsk{Prompt: 100, Class: modeler.Long}, ask: modeler.PermitAsk{Seen: modeler.SeenLoad{LongPrefill: true}}, granted: true},
		{name: "long prompt beside unseen requests", warm: true, given: 2, confirmed: 2, ask: modeler.PermitAsk{Class: modeler.Long, Seen: modeler.SeenLoad{Running: 1}}, want: modeler.Outdated},
		{name: "out of service", warm: true, change: func(e modeler.Endpoint) modeler.Endpoint { return e.WithOut(true) }, want: modeler.NotInService},
		{name: "leaving", warm: true, change: func(e modeler.Endpoint) modeler.Endpoint { return e.WithLeaving(true) }, want: modeler.NotInService},
		{name: "another holder", change: func(e modeler.Endpoint) modeler.Endpoint { return e.WithHolder(other, 2, start) }, want: modeler.NotHolder},
		{name: "hold begins later", change: func(e modeler.Endpoint) modeler.Endpoint { return e.WithHolder(self, 2, start.Add(time.Second)) }, want: modeler.NotHolder},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, engine())
			e, _ := h.world.Endpoints.Get("e")
			if c.warm {
				e = e.WithPhase(modeler.Warm)
			}
			h.world.Endpoints.Put("e", e)
			for n := range c.given {
				_, ok := h.ask(n, c.earlier).(modeler.PermitGiven)
				assert.Assert(t, ok)
			}
			for n := range c.confirmed {
				h.system.Confirm(&modeler.Tick{Now: h.now}, h.world, modeler.PermitConfirm{Attempt: modeler.AttemptID(fmt.Sprintf("r%d#1", n)), Endpoint: "e", BootID: "boot"})
			}
			if c.change != nil {
				e, _ = h.world.Endpoints.Get("e")
				h.world.Endpoints.Put("e", c.change(e))
			}
			answer := h.ask(99, c.ask)
			if c.granted {
				_, ok := answer.(modeler.PermitGiven)
				assert.Assert(t, ok, "%#v", answer)
				return
			}
			refused, ok := answer.(modeler.PermitRefused)
			assert.Assert(t, ok, "%#v", answer)
			assert.Equal(t, refused.Reason, c.want)
		})
	}
}

// TestPhase guards against an endpoint that counts as warm without completions since it was last cold.
func TestPhase(t *testing.T) {
	confirm := func(n int, boot string, cold bool) func(*harness) {
		return func(h *harness) {
			h.system.Confirm(&modeler.Tick{Now: h.now}, h.world, modeler.PermitConfirm{Attempt: modeler.AttemptID(fmt.Sprintf("r%d#1", n)), Endpoint: "e", BootID: boot, Cold: cold})
		}
	}
	complete := func(n int, died bool) func(*harness) {
		return func(h *harness) {
			h.ask(n, modeler.PermitAsk{Tokens: 1})
			h.system.Release(&modeler.Tick{Now: h.now}, h.world, modeler.PermitRelease{Attempt: modeler.AttemptID(fmt.Sprintf("r%d#1", n)), Completed: !died, Died: died})
		}
	}
	cases := []struct {
		name  string
		steps []func(*harness)
		want  modeler.EndpointPhase
	}{
		{"one completion is too few", []func(*harness){complete(1, false)}, modeler.Cold},
		{"enough completions", []func(*harness){complete(1, false), complete(2, false)}, modeler.Warm},
		{"new boot", []func(*harness){complete(1, false), complete(2, false), confirm(3, "other", false)}, modeler.Cold},
		{"header says cold", []func(*harness){complete(1, false), complete(2, false), confirm(3, "boot", true)}, modeler.Cold},
		{"completions of an endpoint that says it is cold", []func(*harness){confirm(0, "boot", true), complete(1, false), complete(2, false), complete(3, false)}, modeler.Cold},
		{"endpoint died", []func(*harness){complete(1, false), complete(2, false), complete(3, true)}, modeler.Cold},
		{"back into service", []func(*harness){complete(1, false), complete(2, false), func(h *harness) {
			e, _ := h.world.Endpoints.Get("e")
			h.world.Endpoints.Put("e", e.WithOut(true).WithOut(false))
		}}, modeler.Cold},
		{"no answer", []func(*harness){func(h *harness) { h.run(modeler.EndpointUnreachable{Endpoint: "e"}) }}, modeler.Lost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, engine())
			for _, step := range c.steps {
				step(h)
			}
			e, _ := h.world.Endpoints.Get("e")
			assert.Equal(t, e.Phase, c.want)
		})
	}
}

// TestHoldOrder guards against two holders of an endpoint and against a hold that begins before the old holder is fenced.
func TestHoldOrder(t *testing.T) {
	claim := func(term modeler.Term, node modeler.NodeID) any {
		return modeler.HoldClaimed{Endpoint: "e", Term: term, Node: node}
	}
	cases := []struct {
		name    string
		records []any
		holder  modeler.NodeID
		term    modeler.Term
		wait    time.Duration
	}{
		{"second claim is ignored", []any{claim(2, other)}, self, 1, 0},
		{"claim after release", []any{modeler.HoldReleased{Endpoint: "e", Term: 1, Node: self}, claim(2, other)}, other, 2, 0},
		{"release of an old term", []any{modeler.HoldReleased{Endpoint: "e", Term: 0, Node: self}, claim(2, other)}, self, 1, 0},
		{"claim after reclaim waits", []any{modeler.NodeReclaim{Node: self}, claim(2, other)}, other, 2, modeler.ReclaimDelay},
		{"claim of a reclaimed node", []any{modeler.NodeReclaim{Node: self}, claim(2, self)}, "", 1, modeler.ReclaimDelay},
		{"repeated reclaim", []any{modeler.NodeReclaim{Node: self}, claim(2, other), modeler.NodeReclaim{Node: self}}, other, 2, modeler.ReclaimDelay},
		{"renewal of a gone node", []any{modeler.NodeDeparted{Node: self}, modeler.HoldClaimed{Endpoint: "e", Term: 1, Node: self, Renewal: true}}, "", 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, engine())
			h.applyRecords(c.records...)
			e, _ := h.world.Endpoints.Get("e")
			assert.Equal(t, e.Holder, c.holder)
			assert.Equal(t, e.Term, c.term)
			assert.Equal(t, e.HeldSince, start.Add(c.wait))
		})
	}
}

// TestMemoryIsFreed guards against engine memory that is never freed. Permits of a reclaimed node, expired permits and attempts of an
// earlier holder must be cancelled until the engine's report no longer shows them.
func TestMemoryIsFreed(t *testing.T) {
	grantOne := func(h *harness) { h.ask(1, modeler.PermitAsk{Tokens: 10}) }
	cases := []struct {
		name  string
		setUp func(*harness)
	}{
		{"reclaimed node", func(h *harness) {
			grantOne(h)
			h.applyRecords(modeler.NodeReclaim{Node: other})
			h.now = h.now.Add(modeler.ReclaimDelay)
		}},
		{"expired", func(h *harness) { grantOne(h); h.now = h.now.Add(13 * time.Second) }},
		{"earlier holder's attempt of a reclaimed node", func(h *harness) {
			h.run(reportOfUnknownAttempt(h))
			h.applyRecords(modeler.NodeReclaim{Node: other})
			h.now = h.now.Add(modeler.ReclaimDelay)
		}},
		{"earlier holder's attempt that its node does not run", func(h *harness) {
			h.run(reportOfUnknownAttempt(h))
			h.now = h.now.Add(permitMargin)
			h.run()
			h.run(modeler.PeerReceived{From: modeler.Sender{ID: other}, Messages: []modeler.Message{modeler.PermitRelease{Attempt: "r1#1", Endpoint: "e"}}})
			h.now = h.now.Add(cancelInterval)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, engine())
			c.setUp(h)
			for range 2 {
				effects := h.run()
				assert.Equal(t, len(effects), 1)
				cancel, ok := effects[0].(modeler.CancelAttempt)
				assert.Assert(t, ok && cancel.Attempt == "r1#1")
				h.now = h.now.Add(cancelInterval)
			}
			e, _ := h.world.Endpoints.Get("e")
			assert.Equal(t, e.Reserved, modeler.Tokens(10))
			h.run(modeler.EndpointReported{Endpoint: "e", BootID: "boot", TakenAt: h.now})
			e, _ = h.world.Endpoints.Get("e")
			assert.Equal(t, e.Reserved, modeler.Tokens(0))
			assert.Equal(t, len(h.run()), 0)
		})
	}
}

// reportOfUnknownAttempt returns a report of an attempt of the other node, for which there is no permit.
func reportOfUnknownAttempt(h *harness) modeler.Event {
	return modeler.EndpointReported{
		Endpoint: "e", BootID: "boot", TakenAt: h.now, Attempts: []modeler.RunningAttempt{{Attempt: "r1#1", Node: other, Tokens: 10}},
	}
}

// TestAdoptedAttemptGoesOn guards against a new holder that cancels the requests of live nodes after a planned stop of the old
// holder.
func TestAdoptedAttemptGoesOn(t *testing.T) {
	h := newHarness(t, engine())
	h.run(reportOfUnknownAttempt(h))
	for range 3 {
		h.now = h.now.Add(permitMargin)
		effects := h.run()
		assert.Equal(t, len(effects), 1)
		asked, ok := effects[0].(modeler.SendPeer)
		assert.Assert(t, ok && asked.To == other, "%#v", effects[0])
	}
}

// TestRequestsCancelled guards against share balances of a reclaimed node that are used again while attempts of the
// node still run on an engine.
func TestRequestsCancelled(t *testing.T) {
	reclaimed := func(h *harness) {
		h.run(modeler.RecordApplied{Record: modeler.Record{Offset: 9, Value: modeler.NodeReclaim{Node: other}}})
	}
	report := func(after time.Duration, attempts ...modeler.RunningAttempt) func(*harness) {
		return func(h *harness) {
			h.now = h.now.Add(after)
			h.run(modeler.EndpointReported{Endpoint: "e", BootID: "boot", TakenAt: h.now, Attempts: attempts})
		}
	}
	digest := func(swept int64) func(*harness) {
		return func(h *harness) {
			e, _ := h.world.Endpoints.Get("e")
			h.world.Endpoints.Put("e", e.WithHolder(other, 2, h.now))
			h.run(modeler.PeerReceived{From: modeler.Sender{ID: other}, Messages: []modeler.Message{modeler.Digest{
				Endpoints: []modeler.EndpointDigest{{ID: "e", Holder: other, Term: 2, SweptTo: swept}},
			}}})
		}
	}
	running := modeler.RunningAttempt{Attempt: "r1#1", Node: other, Tokens: 10}
	cases := []struct {
		name  string
		steps []func(*harness)
		want  bool
	}{
		{"node is not gone", nil, false},
		{"no report since", []func(*harness){reclaimed}, false},
		{"report before the node is fenced", []func(*harness){reclaimed, report(time.Second)}, false},
		{"attempt still runs", []func(*harness){reclaimed, report(modeler.ReclaimDelay, running)}, false},
		{"attempt is gone", []func(*harness){reclaimed, report(modeler.ReclaimDelay, running), report(time.Second)}, true},
		{"other holder has not swept", []func(*harness){reclaimed, digest(8)}, false},
		{"other holder has swept", []func(*harness){reclaimed, digest(9)}, true},
		{"longest request is over", []func(*harness){reclaimed, func(h *harness) { h.now = h.now.Add(2 * time.Minute) }}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, engine())
			h.system.options.RequestTimeout = time.Minute
			for _, step := range c.steps {
				step(h)
			}
			assert.Equal(t, h.system.RequestsCancelled(h.now, h.world, other), c.want)
		})
	}
}

// TestReportEndsPermits guards against a permit of a crashed or unreachable node that occupies an endpoint after its attempt has
// ended, and against one that is deleted while its attempt may still begin.
func TestReportEndsPermits(t *testing.T) {
	cases := []struct {
		name      string
		confirmed bool
		after     time.Duration
		shown     bool
		want      modeler.Tokens
	}{
		{"confirmed and shown", true, time.Second, true, 10},
		{"confirmed and not shown", true, time.Second, false, 0},
		{"not confirmed, may still begin", false, modeler.FenceTimeout, false, 10},
		{"not confirmed, can no longer begin", false, modeler.ReclaimDelay, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, engine())
			h.ask(1, modeler.PermitAsk{Tokens: 10})
			if c.confirmed {
				h.system.Confirm(&modeler.Tick{Now: h.now}, h.world, modeler.PermitConfirm{Attempt: "r1#1", Endpoint: "e", BootID: "boot"})
			}
			h.now = h.now.Add(c.after)
			report := modeler.EndpointReported{Endpoint: "e", BootID: "boot", TakenAt: h.now}
			if c.shown {
				report.Attempts = []modeler.RunningAttempt{{Attempt: "r1#1", Node: other, Tokens: 10}}
			}
			h.run(report)
			e, _ := h.world.Endpoints.Get("e")
			assert.Equal(t, e.Reserved, c.want)
		})
	}
}
