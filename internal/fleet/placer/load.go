package placer

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Load is the work of one endpoint as this node knows it.
type Load struct {
	// Running counts requests that take a slot.
	Running int
	Memory  modeler.Tokens
	// Backlog is the reading time that is not done yet.
	Backlog time.Duration
	// Pass is the time of one pass without reading; zero if nothing generates.
	Pass time.Duration
	// writers generate; readers wait for their first event.
	writers []writer
	readers []reader
}

// writer is a request that generates.
type writer struct {
	gap    time.Duration
	weight float64
}

// reader is a request that waits for its first event.
type reader struct {
	// first is the expected time until the first event, due the time until it is late.
	first, due time.Duration
	weight     float64
}

// weight estimates what a request is worth by the work that it is: the users value long reads by their size.
func weight(request modeler.Request) float64 {
	const tokensPerUnit = 9000
	return (1 + float64(request.Prompt)/tokensPerUnit) * max(request.WeightFactor, 1)
}

// loadOf sums up the assignments of an endpoint. Without a fresh view of all nodes, the coordinator's last digest is a lower bound.
func loadOf(world *modeler.World, endpoint modeler.EndpointID, profile modeler.EngineProfile, now time.Time) Load {
	var load Load
	if busy, ok := world.PrefillEnd.Get(endpoint); ok && busy.After(now) {
		load.Backlog = busy.Sub(now)
	}
	for _, id := range world.ByEndpoint.Keys(endpoint) {
		a, _ := world.Assignments.Get(id)
		if a.Started.IsZero() {
			first := a.Plan.First - now.Sub(a.Placed)
			if a.Plan.Endpoint.ID == endpoint {
				// Parts of other prompts that came later are processed before this one.
				first = max(first, load.Backlog)
			}
			load.readers = append(load.readers, reader{first: first, due: a.Request.Due.Sub(now), weight: weight(a.Request)})
		}
		writes := !a.Started.IsZero() && profile.PrefillRate > 0
		if a.Plan.Endpoint.ID != endpoint {
			held := a.Plan.ReservedOn(endpoint)
			load.Memory += held
			if writes && held > 0 {
				load.writers = append(load.writers, writer{gap: a.Request.Gap, weight: weight(a.Request)})
				load.Pass += profile.SequencePassTime(held)
			}
			continue
		}
		load.Running++
		load.Memory += a.Request.Total() - a.Plan.ReservedOnHelpers()
		if writes {
			load.writers = append(load.writers, writer{gap: a.Request.Gap, weight: weight(a.Request)})
			load.Pass += profile.SequencePassTime(a.Request.Prompt - a.Plan.ReservedOnHelpers())
		}
	}
	if !world.Coordinates() {
		load = load.withDigest(world, endpoint, now)
	}
	if len(load.writers) > 0 {
		load.Pass += profile.BasePassTime()
	}
	return load
}

// digestAge is how old the coordinator's digest may be: longer than most requests run, it says nothing.
const digestAge = 3 * time.Second

func (l Load) withDigest(world *modeler.World, endpoint modeler.EndpointID, now time.Time) Load {
	summary, ok := world.Loads[endpoint]
	age := now.Sub(world.LoadsAt)
	if !ok || age > digestAge {
		return l
	}
	l.Running = max(l.Running, summary.Running)
	l.Memory = max(l.Memory, summary.Memory)
	l.Backlog = max(l.Backlog, summary.Backlog-age)
	if summary.Gap > 0 {
		l.writers = append(l.writers, writer{gap: summary.Gap, weight: 1})
	}
	return l
}

// Summaries returns the load of all endpoints for the coordinator's digest.
func Summaries(now time.Time, world *modeler.World) map[modeler.EndpointID]modeler.LoadSummary {
	loads := make(map[modeler.EndpointID]modeler.LoadSummary, world.Endpoints.Len())
	for id, endpoint := range world.Endpoints.All() {
		service, _ := world.Configuration.Service(endpoint.Service)
		load := loadOf(world, id, service.Engine, now)
		if load.Running == 0 && load.Backlog == 0 {
			continue
		}
		summary := modeler.LoadSummary{Running: load.Running, Memory: load.Memory, Backlog: load.Backlog}
		for _, w := range load.writers {
			if summary.Gap == 0 || w.gap < summary.Gap {
				summary.Gap = w.gap
			}
		}
		loads[id] = summary
	}
	return loads
}
