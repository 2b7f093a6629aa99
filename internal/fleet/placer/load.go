package placer

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Load is the load of one endpoint as far as this node knows it.
type Load struct {
	// Running is the number of requests that occupy a slot.
	Running int
	Memory  modeler.Tokens
	// Backlog is the remaining prefill time.
	Backlog time.Duration
	// Pass is the time of one engine pass without prefill, or zero if no request decodes.
	Pass       time.Duration
	decoding   []decodingRequest
	prefilling []prefillingRequest
}

// decodingRequest is a request whose output is being generated. gap is its gap target.
type decodingRequest struct {
	gap    time.Duration
	weight float64
}

// prefillingRequest is a request that waits for its first event.
type prefillingRequest struct {
	// first is the expected time until the first event; due is the time until that event is late.
	first, due time.Duration
	weight     float64
}

// requestWeight estimates the value of a request, which grows with the length of its prompt.
func requestWeight(request modeler.Request) float64 {
	const tokensPerUnit = 9000
	return (1 + float64(request.Prompt)/tokensPerUnit) * max(request.WeightFactor, 1)
}

// loadOf sums up the assignments of an endpoint. A node that does not coordinate knows only its own assignments. It uses the
// coordinator's last digest as a lower bound, and adds a decoding request with the digest's smallest gap target.
func loadOf(world *modeler.World, endpoint modeler.EndpointID, profile modeler.EngineProfile, now time.Time) Load {
	var load Load
	if busy, ok := world.PrefillEnd.Get(endpoint); ok && busy.After(now) {
		load.Backlog = busy.Sub(now)
	}
	for _, id := range world.ByEndpoint.Keys(endpoint) {
		a, _ := world.Assignments.Get(id)
		if a.FirstEventAt.IsZero() {
			first := a.Plan.TimeToFirstEvent - now.Sub(a.Placed)
			if a.Plan.Endpoint.ID == endpoint {
				// Parts of other prompts, even if they arrive later, are processed before this prompt.
				first = max(first, load.Backlog)
			}
			load.prefilling = append(load.prefilling, prefillingRequest{first: first, due: a.Request.Due.Sub(now), weight: requestWeight(a.Request)})
		}
		decodes := !a.FirstEventAt.IsZero() && profile.PrefillRate > 0
		if a.Plan.Endpoint.ID != endpoint {
			reserved := a.Plan.ReservedOn(endpoint)
			load.Memory += reserved
			if decodes && reserved > 0 {
				load.decoding = append(load.decoding, decodingRequest{gap: a.Request.Gap, weight: requestWeight(a.Request)})
				load.Pass += profile.SequencePassTime(reserved)
			}
			continue
		}
		load.Running++
		load.Memory += a.Request.MaxMemory() - a.Plan.ReservedOnHelpers()
		if decodes {
			load.decoding = append(load.decoding, decodingRequest{gap: a.Request.Gap, weight: requestWeight(a.Request)})
			load.Pass += profile.SequencePassTime(a.Request.Prompt - a.Plan.ReservedOnHelpers())
		}
	}
	if !world.Coordinates() {
		load = load.withDigest(world, endpoint, now)
	}
	if len(load.decoding) > 0 {
		load.Pass += profile.BasePassTime()
	}
	return load
}

// maxDigestAge is the age up to which the coordinator's digest is used. Most requests take less time, so an older digest does not show the
// current load.
const maxDigestAge = 3 * time.Second

func (l Load) withDigest(world *modeler.World, endpoint modeler.EndpointID, now time.Time) Load {
	summary, ok := world.Loads[endpoint]
	age := now.Sub(world.LoadsAt)
	if !ok || age > maxDigestAge {
		return l
	}
	l.Running = max(l.Running, summary.Running)
	l.Memory = max(l.Memory, summary.Memory)
	l.Backlog = max(l.Backlog, summary.Backlog-age)
	if summary.Gap > 0 {
		l.decoding = append(l.decoding, decodingRequest{gap: summary.Gap, weight: 1})
	}
	return l
}

// LoadSummaries returns the loads of all endpoints that are not idle, for the coordinator's digest.
func LoadSummaries(now time.Time, world *modeler.World) map[modeler.EndpointID]modeler.LoadSummary {
	loads := make(map[modeler.EndpointID]modeler.LoadSummary, world.Endpoints.Len())
	for id, endpoint := range world.Endpoints.All() {
		service, _ := world.Configuration.Service(endpoint.Service)
		load := loadOf(world, id, service.Engine, now)
		if load.Running == 0 && load.Backlog == 0 {
			continue
		}
		summary := modeler.LoadSummary{Running: load.Running, Memory: load.Memory, Backlog: load.Backlog}
		for _, d := range load.decoding {
			if summary.Gap == 0 || d.gap < summary.Gap {
				summary.Gap = d.gap
			}
		}
		loads[id] = summary
	}
	return loads
}
