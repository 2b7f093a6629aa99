package placer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

var start = time.Unix(1000, 0)

// profile is that of the users' engines.
var profile = modeler.EngineProfile{
	Memory: 405_000, Stride: 34, Step: 1310 * time.Microsecond, PerSequence: 917 * time.Nanosecond,
	PerThousandContext: 2130 * time.Nanosecond, PrefillRate: 154_000, PerMillionPairs: 162 * time.Microsecond, Chunk: 2048,
}

func short() modeler.Request {
	return modeler.Request{
		ID: "short", Prompt: 5000, Output: 1300, Arrived: start, Due: start.Add(300 * time.Millisecond), Deadline: start.Add(2 * time.Second),
		Gap: 250 * time.Millisecond,
	}
}

func long(prompt modeler.Tokens) modeler.Request {
	return modeler.Request{
		ID: "long", Prompt: prompt, Output: 700, Arrived: start, Due: start.Add(3 * time.Second), Deadline: start.Add(12 * time.Second),
		Gap: time.Second,
	}
}

// writing returns the load of an engine with so many short requests that generate.
func writing(n int) Load {
	load := Load{Running: n, Memory: modeler.Tokens(n) * 6300}
	for range n {
		load.writers = append(load.writers, writer{gap: 250 * time.Millisecond, weight: 1.5})
		load.Pass += profile.SequencePassTime(5000)
	}
	if n > 0 {
		load.Pass += profile.BasePassTime()
	}
	return load
}

func candidates(loads ...Load) []Candidate {
	list := make([]Candidate, 0, len(loads))
	for i, load := range loads {
		list = append(list, Candidate{Endpoint: modeler.Endpoint{ID: modeler.EndpointID(fmt.Sprintf("e%d", i)), Slots: 16}, Load: load})
	}
	return list
}

// TestLengthAware guards against short requests on engines that read long prompts, long reads on engines that generate short answers, and
// short requests that occupy engines which long reads need.
func TestLengthAware(t *testing.T) {
	reading := Load{Backlog: 2 * time.Second, readers: []reader{{first: 2 * time.Second, due: 3 * time.Second, weight: 20}}}
	full := writing(16)
	tests := []struct {
		name    string
		request modeler.Request
		loads   []Load
		// want is the endpoint, or empty for none; most and least bound the helpers.
		want        modeler.EndpointID
		least, most int
	}{
		{"short joins short", short(), []Load{{}, writing(5), {}}, "e1", 0, 0},
		{"short avoids the long read", short(), []Load{reading, {}}, "e1", 0, 0},
		{"short opens an engine when others are full", short(), []Load{full, {}}, "e1", 0, 0},
		{"no slot", short(), []Load{full, full}, "", 0, 0},
		{"only engines that read for longer than the caller waits", short(), []Load{reading}, "", 0, 0},
		{"long takes idle engines", long(182_000), []Load{writing(8), {}, {}, {}, writing(8)}, "e1", 1, 2},
		{"long alone on the only idle engine", long(100_000), []Load{writing(8), {}}, "e1", 0, 0},
		{"too long for one engine in time", long(182_000), []Load{{}, {}, {}, {}, {}, {}}, "e0", 1, 5},
		{"memory", long(300_000), []Load{{Memory: 200_000}, {}}, "e1", 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			policy := LengthAware{Profile: profile, MaxEngines: maxEngines}
			proposal, ok := Choose(policy, start, tt.request, candidates(tt.loads...))
			assert.Equal(t, ok, tt.want != "")
			assert.Equal(t, proposal.Plan.Endpoint.ID, tt.want)
			helpers := len(proposal.Plan.Helpers)
			assert.Assert(t, helpers >= tt.least && helpers <= tt.most, "%d helpers", helpers)
		})
	}
}

// TestHeld guards against prompts beyond the memory of one engine that are refused, or whose parts exceed what an engine has free.
func TestHeld(t *testing.T) {
	tests := []struct {
		name   string
		prompt modeler.Tokens
		loads  []Load
		// helpers is the least number of helpers; none is found if it is negative.
		helpers int
	}{
		{"fits one engine", 300_000, make([]Load, 6), 0},
		{"needs several", 500_000, make([]Load, 12), 1},
		{"one engine only", 500_000, make([]Load, 1), -1},
		{"not enough memory together", 500_000, []Load{{Memory: 300_000}, {Memory: 300_000}, {Memory: 300_000}}, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			request := long(tt.prompt)
			proposal, ok := Choose(LengthAware{Profile: profile, MaxEngines: maxEngines}, start, request, candidates(tt.loads...))
			assert.Equal(t, ok, tt.helpers >= 0)
			if !ok {
				return
			}
			assert.Assert(t, len(proposal.Plan.Helpers) >= tt.helpers)
			if request.Total() <= profile.Memory {
				assert.Equal(t, len(proposal.Plan.Reserved), 0)
				return
			}
			assert.Equal(t, len(proposal.Plan.Reserved), len(proposal.Plan.Helpers))
			own := request.Total() - proposal.Plan.ReservedOnHelpers()
			assert.Assert(t, own > 0 && own <= profile.Memory)
		})
	}
}

// TestLengthAwareLimits guards against plans that exceed the slots or the memory of an engine, name an engine twice, or have a first event
// after the caller has left.
func TestLengthAwareLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(0, 20).Draw(t, "engines")
		list := make([]Candidate, 0, engines)
		for i := range engines {
			load := writing(rapid.IntRange(0, 18).Draw(t, "writers"))
			load.Memory = modeler.Tokens(rapid.IntRange(0, 405_000).Draw(t, "memory"))
			load.Backlog = time.Duration(rapid.IntRange(0, 5000).Draw(t, "backlog ms")) * time.Millisecond
			list = append(list, Candidate{Endpoint: modeler.Endpoint{ID: modeler.EndpointID(fmt.Sprintf("e%02d", i)), Slots: 16}, Load: load})
		}
		request := long(modeler.Tokens(rapid.IntRange(1, 400_000).Draw(t, "prompt")))
		proposal, ok := Choose(LengthAware{Profile: profile, MaxEngines: maxEngines}, start, request, list)
		if !ok {
			return
		}
		seen := map[modeler.EndpointID]bool{}
		for _, e := range proposal.Plan.Engines() {
			if seen[e.ID] {
				t.Fatalf("engine %s twice", e.ID)
			}
			seen[e.ID] = true
		}
		for _, c := range list {
			if c.Endpoint.ID == proposal.Plan.Endpoint.ID && (c.Load.Running >= 16 || c.Load.Memory+request.Total() > profile.Memory) {
				t.Fatalf("engine %s is full: %+v", c.Endpoint.ID, c.Load)
			}
		}
		if proposal.Plan.First > request.Deadline.Sub(start) {
			t.Fatalf("first event after %v", proposal.Plan.First)
		}
	})
}

// TestLeastBusy guards against plain services that get work beyond their slots, or from far away without need.
func TestLeastBusy(t *testing.T) {
	row := func(running int, near bool, rate float64) Candidate {
		return Candidate{Endpoint: modeler.Endpoint{Slots: 6}, Load: Load{Running: running}, Near: near, FailureRate: rate}
	}
	tests := []struct {
		name string
		list []Candidate
		want int
	}{
		{"near", []Candidate{row(0, false, 0), row(0, true, 0)}, 1},
		{"least busy", []Candidate{row(3, true, 0), row(1, false, 0)}, 1},
		{"failing", []Candidate{row(0, true, 0.5), row(2, false, 0)}, 1},
		{"full", []Candidate{row(6, true, 0), row(5, false, 0.9)}, 1},
		{"all full", []Candidate{row(6, true, 0), row(6, false, 0)}, -1},
		{"none", nil, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for i := range tt.list {
				tt.list[i].Endpoint.ID = modeler.EndpointID(fmt.Sprint(i))
			}
			proposal, ok := Choose(LeastBusy{}, start, modeler.Request{}, tt.list)
			assert.Equal(t, ok, tt.want >= 0)
			if ok {
				assert.Equal(t, string(proposal.Plan.Endpoint.ID), fmt.Sprint(tt.want))
			}
		})
	}
}

// TestLateness guards against a cost that jumps, which would make the choice depend on the error of an estimate.
func TestLateness(t *testing.T) {
	const objective = time.Second
	previous := lateness(0, objective)
	for ms := range 3000 {
		cost := lateness(time.Duration(ms)*time.Millisecond, objective)
		assert.Assert(t, cost >= previous && cost-previous < 0.01, "at %d ms: %v after %v", ms, cost, previous)
		previous = cost
	}
	assert.Equal(t, lateness(500*time.Millisecond, objective), 0.0)
	assert.Assert(t, math.Abs(lateness(time.Second, objective)-lateLoss) < 1e-9)
}
