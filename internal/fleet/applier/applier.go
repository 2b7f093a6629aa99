// Package applier brings what the store says into the tables: the operators' configuration, data centres out of service, and endpoints.
package applier

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// disturbance is how long after a failed call to the store a vanished entry may have lapsed instead of being removed.
	disturbance = 3 * time.Second
	// returnTime is how long after the return of the store the entries of live endpoints may still be missing: the platform promises
	// two seconds, and a read takes some time.
	returnTime = 2200 * time.Millisecond
)

// System applies events of the store. Records of one key only go forward.
type System struct {
	// outOffsets holds the newest offset of each data centre's record.
	outOffsets map[modeler.DataCentreID]int64
	// recoveredAt is when the store last answered after a failure.
	recoveredAt time.Time
	failing     bool
}

// New returns the system.
func New() *System { return &System{outOffsets: map[modeler.DataCentreID]int64{}} }

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.ConfigurationChanged:
			s.configure(tick, world, e.Configuration)
		case modeler.DataCentreChanged:
			s.takeOut(tick, world, e)
		case modeler.EndpointChanged:
			s.endpointChanged(tick, world, e)
		case modeler.EndpointRemoved:
			s.endpointRemoved(tick, world, e)
		case modeler.PeerReceived:
			if news, ok := e.Message.Body.(modeler.EndpointNews); ok {
				s.news(tick, world, news)
			}
		case modeler.TopicListed:
			s.listed(tick, world, e)
		case modeler.TopicRead:
			s.read(tick, world, e)
		case modeler.TopicFailed:
			s.failed(tick, world, e)
		}
	}
	if s.failing && world.ConfirmedAt[modeler.Endpoints].After(world.FailedAt[modeler.Endpoints]) {
		s.regained(tick, world)
	}
	s.expireMissing(tick, world)
}

func (s *System) configure(tick *modeler.Tick, world *modeler.World, next modeler.Configuration) {
	current := world.Configuration
	if current.Known() && (next.Version <= current.Version || next.Offset <= current.Offset) {
		return
	}
	world.Configuration = next
	tick.Emit(modeler.Note{Name: modeler.NoteConfigurationApplied, Fields: []modeler.Field{
		{Key: "Version", Value: next.Version}, {Key: "Offset", Value: next.Offset},
		{Key: "Replaced", Value: current.Version}, {Key: "Routes", Value: next.Routes()},
	}})
}

func (s *System) takeOut(tick *modeler.Tick, world *modeler.World, e modeler.DataCentreChanged) {
	if known, ok := s.outOffsets[e.DataCentre]; ok && e.Offset <= known {
		return
	}
	s.outOffsets[e.DataCentre] = e.Offset
	_, was := world.Out.Get(e.DataCentre)
	if e.Out {
		world.Out.Put(e.DataCentre, e.Offset)
	} else {
		world.Out.Delete(e.DataCentre)
	}
	if was != e.Out {
		noteDataCentre(tick, e.DataCentre, e.Out, e.Offset)
	}
}

func noteDataCentre(tick *modeler.Tick, id modeler.DataCentreID, out bool, offset int64) {
	tick.Emit(modeler.Note{Name: modeler.NoteDataCentreChanged, Fields: []modeler.Field{
		{Key: "DataCentre", Value: string(id)}, {Key: "Out", Value: out}, {Key: "Offset", Value: offset},
	}})
}

// newer records the offset and tells whether it is ahead of what was known.
func newer(world *modeler.World, id modeler.EndpointID, offset int64) bool {
	if known, ok := world.EndpointOffsets.Get(id); ok && offset <= known {
		return false
	}
	world.EndpointOffsets.Put(id, offset)
	return true
}

func (s *System) endpointChanged(tick *modeler.Tick, world *modeler.World, e modeler.EndpointChanged) {
	if !newer(world, e.Endpoint.ID, e.Offset) {
		return
	}
	next := e.Endpoint
	if e.ColdFor > 0 {
		next.ColdUntil = tick.Now.Add(e.ColdFor)
	}
	current, known := world.Endpoints.Get(next.ID)
	next.ChangedAt = current.ChangedAt
	if !known || current.Differs(next) {
		next.ChangedAt = e.Offset
	}
	world.Endpoints.Put(next.ID, next)
	if !known || current.Born != next.Born || current.Address != next.Address {
		restart(world, next.ID)
	} else if health, ok := world.Health.Get(next.ID); ok && health.Misdirected {
		world.Health.Delete(next.ID)
	}
	if !known || current.Draining != next.Draining || current.Born != next.Born {
		name := modeler.NoteEndpointChanged
		if !known {
			name = modeler.NoteEndpointKnown
		}
		tick.Emit(modeler.Note{Name: name, Fields: []modeler.Field{
			{Key: "Endpoint", Value: string(next.ID)}, {Key: "Service", Value: string(next.Service)}, {Key: "Address", Value: next.Address},
			{Key: "DataCentre", Value: string(next.DataCentre)}, {Key: "Draining", Value: next.Draining},
			{Key: "ColdFor", Value: e.ColdFor}, {Key: "Offset", Value: e.Offset},
		}})
	}
}

// news applies what another node has read. Records of one endpoint only go forward, so that it does not matter who read them.
func (s *System) news(tick *modeler.Tick, world *modeler.World, news modeler.EndpointNews) {
	for _, change := range news.Changes {
		switch e := change.Event().(type) {
		case modeler.EndpointChanged:
			s.endpointChanged(tick, world, e)
		case modeler.EndpointRemoved:
			s.endpointRemoved(tick, world, e)
		}
	}
}

// restart forgets what was known of an earlier start of the endpoint.
func restart(world *modeler.World, id modeler.EndpointID) {
	world.Health.Delete(id)
	world.Busy.Delete(id)
}

func (s *System) endpointRemoved(tick *modeler.Tick, world *modeler.World, e modeler.EndpointRemoved) {
	if !newer(world, e.ID, e.Offset) {
		return
	}
	if _, ok := world.Endpoints.Get(e.ID); ok {
		s.vanished(tick, world, e.ID, e.Offset, e.Unreadable)
	}
}

// vanished removes an endpoint, or keeps it for a while if its entry may have lapsed because the store was away.
func (s *System) vanished(tick *modeler.Tick, world *modeler.World, id modeler.EndpointID, offset int64, unreadable bool) {
	endpoint, _ := world.Endpoints.Get(id)
	failedAt := world.FailedAt[modeler.Endpoints]
	lapsed := !unreadable && !endpoint.Draining && !failedAt.IsZero() && tick.Now.Sub(failedAt) < disturbance
	if lapsed {
		if endpoint.MissingSince.IsZero() {
			world.Endpoints.Put(id, endpoint.WithMissing(tick.Now))
		}
	} else {
		world.Endpoints.Delete(id)
		restart(world, id)
	}
	tick.Emit(modeler.Note{Name: modeler.NoteEndpointRemoved, Fields: []modeler.Field{
		{Key: "Endpoint", Value: string(id)}, {Key: "Offset", Value: offset}, {Key: "Kept", Value: lapsed}, {Key: "Unreadable", Value: unreadable},
	}})
}

// listed removes what was not among the newest records. What another node told of meanwhile was written after the listing began.
func (s *System) listed(tick *modeler.Tick, world *modeler.World, e modeler.TopicListed) {
	switch e.Topic {
	case modeler.Endpoints:
		for id := range world.Endpoints.All() {
			if offset, _ := world.EndpointOffsets.Get(id); !e.Keys[string(id)] && offset < e.End {
				s.vanished(tick, world, id, world.Ends[modeler.Endpoints], false)
			}
		}
	case modeler.Operators:
		for id, offset := range world.Out.All() {
			if !e.Keys[string(id)] && offset < e.End {
				world.Out.Delete(id)
				noteDataCentre(tick, id, false, world.Ends[modeler.Operators])
			}
		}
	case modeler.Nodes:
	}
}

func (s *System) read(tick *modeler.Tick, world *modeler.World, e modeler.TopicRead) {
	if e.Topic == modeler.Endpoints && s.failing {
		s.regained(tick, world)
	}
	world.Ends[e.Topic] = max(world.Ends[e.Topic], e.Next)
}

// regained notes the return of the store, as this node or another one sees it.
func (s *System) regained(tick *modeler.Tick, world *modeler.World) {
	s.failing, s.recoveredAt = false, tick.Now
	tick.Emit(modeler.Note{Name: modeler.NoteStoreRegained, Fields: []modeler.Field{
		{Key: "Topic", Value: modeler.Endpoints.String()}, {Key: "SinceFailure", Value: tick.Now.Sub(world.FailedAt[modeler.Endpoints])},
	}})
}

func (s *System) failed(tick *modeler.Tick, world *modeler.World, e modeler.TopicFailed) {
	world.FailedAt[e.Topic] = tick.Now
	if e.Topic != modeler.Endpoints || s.failing {
		return
	}
	s.failing = true
	tick.Emit(modeler.Note{Name: modeler.NoteStoreLost, Fields: []modeler.Field{
		{Key: "Topic", Value: e.Topic.String()}, {Key: "Reason", Value: e.Reason}, {Key: "Offset", Value: world.Ends[e.Topic]},
	}})
}

// expireMissing removes endpoints whose entries did not come back after the store returned.
func (s *System) expireMissing(tick *modeler.Tick, world *modeler.World) {
	if s.failing {
		return
	}
	for id, endpoint := range world.Endpoints.All() {
		if endpoint.MissingSince.IsZero() {
			continue
		}
		since := endpoint.MissingSince
		if s.recoveredAt.After(since) {
			since = s.recoveredAt
		}
		if due := since.Add(returnTime); tick.Now.Before(due) {
			tick.WakeAt(due)
			continue
		}
		world.Endpoints.Delete(id)
		restart(world, id)
		tick.Emit(modeler.Note{Name: modeler.NoteEndpointLapsed, Fields: []modeler.Field{
			{Key: "Endpoint", Value: string(id)}, {Key: "MissingFor", Value: tick.Now.Sub(endpoint.MissingSince)},
		}})
	}
}
