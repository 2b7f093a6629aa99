package admitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/router"
)

var epoch = time.Unix(1_000, 0)

// fakePermits answers each PermitAsk from a list whose last answer repeats. It records the PermitAsks and the releases.
type fakePermits struct {
	answers  []modeler.PermitReason
	released []modeler.PermitRelease
	asks     []modeler.PermitAsk
}

// granted stands for a granted permit in fakePermits.answers.
const granted modeler.PermitReason = 255

func (f *fakePermits) Ask(_ *modeler.Tick, _ *modeler.World, _ modeler.NodeID, ask modeler.PermitAsk) modeler.Message {
	f.asks = append(f.asks, ask)
	answer := f.answers[0]
	if len(f.answers) > 1 {
		f.answers = f.answers[1:]
	}
	if answer == granted {
		return modeler.PermitGiven{Attempt: ask.Attempt, Endpoint: ask.Endpoint, Term: 1}
	}
	return modeler.PermitRefused{Attempt: ask.Attempt, Endpoint: ask.Endpoint, Reason: answer}
}

func (f *fakePermits) Confirm(*modeler.Tick, *modeler.World, modeler.PermitConfirm) {}

func (f *fakePermits) Release(_ *modeler.Tick, _ *modeler.World, m modeler.PermitRelease) {
	f.released = append(f.released, m)
}

// harness runs one node's admission system with two engines that the node holds.
type harness struct {
	system  *System[router.LengthAware]
	world   *modeler.World
	permits *fakePermits
	now     time.Time
	next    time.Time
	suffix  int
}

func newHarness(answers ...modeler.PermitReason) *harness {
	weights := modeler.Weights{LongPart: 0.5, PrefillRate: 10_000, FirstTokenTimeout: time.Second, MaxRunning: 8, RetryPart: 0.1}
	h := &harness{permits: &fakePermits{answers: answers}, now: epoch}
	h.world = modeler.NewWorld(modeler.Self{Sender: modeler.Sender{ID: "a/1"}, Weights: weights})
	h.world.FenceUntil = epoch.Add(time.Hour)
	h.world.Rules = modeler.Rules{Version: 1, Fleet: 10_000, Shares: []modeler.ShareRule{{Member: "m", Percent: 50}}}
	h.world.Members.Put("m", modeler.Member{ID: "m", Cap: 5_000, Balance: 5_000})
	for _, id := range []modeler.EndpointID{"e1", "e2"} {
		h.world.Endpoints.Put(id, modeler.Endpoint{
			ID: id, Models: []string{"x"}, Capacity: 4_000, ColdLimit: 2, Phase: modeler.Warm, Holder: "a/1",
		})
	}
	h.system = New(weights, h.permits, func(r modeler.Request) modeler.AttemptID {
		h.suffix++
		return NewAttemptID(r.ID, fmt.Sprint(h.suffix))
	}, func(cache *PrefixCache, _ func(modeler.EndpointID) uint64) router.LengthAware {
		return router.LengthAware{Weights: weights, CachedOn: cache.Get}
	})
	return h
}

func (h *harness) run(events ...modeler.Event) []modeler.Effect {
	tick := &modeler.Tick{Now: h.now, Events: events, Rand: rand.New(rand.NewPCG(1, 1))}
	h.system.Run(tick, h.world)
	h.next = tick.Next()
	return tick.Effects()
}

func (h *harness) request(id modeler.RequestID) modeler.Request {
	return modeler.Request{
		ID: id, Member: "m", Target: "x", Prompt: 900, MaxOutput: 100, Fingerprint: 7, ArrivedAt: h.now, Deadline: h.now.Add(10 * time.Second),
	}
}

// decisions returns the code and the run state of each refusal, and "Granted" for each grant.
func decisions(effects []modeler.Effect) []string {
	var codes []string
	for _, effect := range effects {
		reply, ok := effect.(modeler.Reply)
		switch {
		case !ok:
		case reply.Decision.Grant != nil:
			codes = append(codes, "Granted")
		default:
			codes = append(codes, fmt.Sprintf("%s/%s", reply.Decision.Refusal.Code, reply.Decision.Refusal.Run))
		}
	}
	return codes
}

// TestArrival guards against a request that is queued although it can never be served, and against a refusal for the wrong reason.
func TestArrival(t *testing.T) {
	cases := []struct {
		name   string
		change func(*harness, *modeler.Request)
		want   []string
	}{
		{"served", func(*harness, *modeler.Request) {}, []string{"Granted"}},
		{"unknown model", func(_ *harness, r *modeler.Request) { r.Target = "y" }, []string{"UnknownModel/NotRun"}},
		{"unknown service", func(_ *harness, r *modeler.Request) { r.Kind = modeler.Service }, []string{"UnknownService/NotRun"}},
		{"larger than every engine", func(_ *harness, r *modeler.Request) { r.Prompt = 4_000 }, []string{"PromptTooLong/NotRun"}},
		{"member without a share", func(_ *harness, r *modeler.Request) { r.Member = "n" }, []string{"ShareExceeded/NotRun"}},
		{"over the share", func(h *harness, _ *modeler.Request) { h.world.Rules.Shares[0].Percent = 5 }, []string{"ShareExceeded/NotRun"}},
		{"node is fenced", func(h *harness, _ *modeler.Request) { h.world.FenceUntil = epoch }, []string{"NodeFenced/NotRun"}},
		{"quarantined", func(h *harness, _ *modeler.Request) { h.world.Quarantined.Put(7, epoch.Add(time.Minute)) }, []string{"RequestQuarantined/NotRun"}},
		{"quarantine is over", func(h *harness, _ *modeler.Request) { h.world.Quarantined.Put(7, epoch) }, []string{"Granted"}},
		{"share in use", func(h *harness, _ *modeler.Request) { h.world.Members.Put("m", modeler.Member{ID: "m"}) }, nil},
		{"every endpoint out of service", func(h *harness, _ *modeler.Request) {
			for id, e := range h.world.Endpoints.All() {
				h.world.Endpoints.Put(id, e.WithOut(true))
			}
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(granted)
			r := h.request("r")
			c.change(h, &r)
			assert.DeepEqual(t, decisions(h.run(modeler.RequestArrived{Request: r})), c.want)
		})
	}
}

// TestWaiting guards against a request that waits without end, and against a refusal that does not name the cause.
func TestWaiting(t *testing.T) {
	cases := []struct {
		name    string
		answers []modeler.PermitReason
		balance modeler.Tokens
		after   time.Duration
		want    []string
	}{
		{"permit after refusals", []modeler.PermitReason{modeler.ColdFull, modeler.Outdated, modeler.Unconfirmed, granted}, 5_000, time.Second / 2, []string{"Granted"}},
		{"no permit in time", []modeler.PermitReason{modeler.NoMemory}, 5_000, 2 * time.Second, []string{"Overloaded/NotRun"}},
		{"no endpoint in service", nil, 5_000, 2 * time.Second, []string{"NoEndpoint/NotRun"}},
		{"no share in time", []modeler.PermitReason{granted}, 10, 2 * time.Second, []string{"ShareExhausted/NotRun"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(c.answers...)
			if c.answers == nil {
				h.world.Endpoints.Put("e1", modeler.Endpoint{ID: "e1", Models: []string{"x"}, Capacity: 4_000, Out: true})
				h.world.Endpoints.Delete("e2")
			}
			h.world.Members.Put("m", modeler.Member{ID: "m", Balance: c.balance})
			got := decisions(h.run(modeler.RequestArrived{Request: h.request("r")}))
			for end := epoch.Add(c.after); len(got) == 0 && !h.next.IsZero() && h.next.Before(end); {
				h.now = h.next
				got = append(got, decisions(h.run())...)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestRetry guards against tokens that are charged twice, endpoints that are tried again after they failed, and a request that
// crashes a third endpoint.
func TestRetry(t *testing.T) {
	cases := []struct {
		name string
		asks []modeler.RetryRequested
		want []string
		// prompt is the prompt of the last PermitAsk.
		prompt modeler.Tokens
	}{
		{"continues from delivered tokens", []modeler.RetryRequested{{Delivered: 30}}, []string{"Granted"}, 930},
		{"both endpoints failed", []modeler.RetryRequested{{Delivered: 30}, {Delivered: 50}}, []string{"Granted", ""}, 930},
		{"second endpoint died", []modeler.RetryRequested{{Died: true}, {Died: true}}, []string{"Granted", "RequestQuarantined/Unknown"}, 900},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(granted)
			h.run(modeler.RequestArrived{Request: h.request("r")})
			for i, ask := range c.asks {
				ask.Request = "r"
				got := decisions(h.run(ask))
				h.now = h.now.Add(100 * time.Millisecond)
				got = append(got, decisions(h.run())...)
				assert.Equal(t, fmt.Sprint(got), fmt.Sprint([]string{c.want[i]}[:min(1, len(c.want[i]))]), "retry %d", i)
			}
			assert.Equal(t, h.permits.asks[len(h.permits.asks)-1].Prompt, c.prompt)
			assert.Assert(t, len(h.permits.released) == len(c.asks))
		})
	}
}

// TestChargesBalance guards against a charge that is never refunded, or refunded twice, however a request ends.
func TestChargesBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(rapid.SliceOfN(rapid.SampledFrom([]modeler.PermitReason{granted, granted, modeler.NoMemory, modeler.Outdated}), 1, 20).Draw(t, "answers")...)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := modeler.RequestID(fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "request")))
			events := []modeler.Event{
				modeler.RequestArrived{Request: h.request(modeler.RequestID(fmt.Sprint("r", i)))},
				modeler.RetryRequested{Request: id, Delivered: modeler.Tokens(rapid.IntRange(0, 100).Draw(t, "delivered")), Died: rapid.Bool().Draw(t, "died")},
				modeler.RequestEnded{Request: id, Completed: rapid.Bool().Draw(t, "completed")},
				modeler.PeerFailed{},
			}
			h.run(rapid.SampledFrom(events).Draw(t, "event"))
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 4_000).Draw(t, "wait")) * time.Millisecond)
			h.run()
			charged := modeler.Tokens(0)
			for _, r := range h.world.Requests.All() {
				charged += r.Charged
			}
			m, _ := h.world.Members.Get("m")
			assert.Equal(t, m.Used, charged)
		}
		h.now = h.now.Add(time.Minute)
		h.run()
		h.run()
		assert.Equal(t, h.world.Requests.Len(), 0)
	})
}

// TestWantedIsRenewed guards against a queued request for which nothing more is borrowed after a shorter request has used the
// borrowed balance. The lender lowers Wanted with each transfer received.
func TestWantedIsRenewed(t *testing.T) {
	h := newHarness(granted)
	h.world.Members.Put("m", modeler.Member{ID: "m", Balance: 10})
	h.run(modeler.RequestArrived{Request: h.request("r")})
	for range 2 {
		m, _ := h.world.Members.Get("m")
		assert.Equal(t, m.Wanted, modeler.Tokens(1_000))
		assert.Assert(t, !h.next.After(h.now), "the lender runs in the next tick")
		h.world.Members.Put("m", m.WithWanted(0))
		h.run()
	}
}
