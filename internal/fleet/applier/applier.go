// Package applier applies records of the store to the tables: the operators' configuration, data centres out of service, and endpoints.
package applier

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// maxQuietTime is the age of this node's state up to which the store counts as available although calls of this node fail: another node
	// reads it. While all nodes can read it, the state is younger.
	maxQuietTime = time.Second
	// reappearTimeout is the time after the recovery of the store within which the platform writes the entries of live endpoints again.
	reappearTimeout = 2 * time.Second
	// minDroppedFraction is the fraction of all endpoints that must have lost their entries for a process that starts to take this for the work of an
	// outage of the store. Endpoints that crash one by one stay below it.
	minDroppedFraction = 0.25
)

// System applies the events that result from store records. A record whose offset is not higher than that of an applied
// record of the same key is ignored.
type System struct {
	// dataCentreOffsets holds the highest offset of each data centre's records.
	dataCentreOffsets map[modeler.DataCentreID]modeler.Position
	restores          restores
	// era is the highest era of the store that this node has seen, and zero before the first one.
	era int64
	// unavailable is set while the store responds to no node, as shown by a failed call that started at failedAt.
	unavailable bool
	failedAt    time.Time
	// recoveredAt is when this node learned that the store responds again. It is zero if the store was always available.
	recoveredAt time.Time
	// confirmedAt is when this node's state of the endpoints was last confirmed as current. It is not before that of the World, which the poller
	// sets later in the tick.
	confirmedAt time.Time
}

// New returns a System.
func New() *System {
	return &System{dataCentreOffsets: map[modeler.DataCentreID]modeler.Position{}, restores: newRestores()}
}

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	s.confirm(tick, world.ConfirmedAt[modeler.Endpoints])
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.ConfigurationChanged:
			s.applyConfiguration(tick, world, e.Configuration)
		case modeler.DataCentreChanged:
			s.applyDataCentre(tick, world, e)
		case modeler.EndpointChanged:
			s.applyEndpointChanged(tick, world, e)
		case modeler.EndpointRemoved:
			s.applyEndpointRemoved(tick, world, e)
		case modeler.EndpointsDropped:
			s.applyDropped(tick, world, e.Entries)
		case modeler.PeerReceived:
			if body, ok := e.Message.Body.(modeler.EndpointChanges); ok {
				s.applyPeerChanges(tick, world, body)
			}
		case modeler.ListingBegan:
			s.restores.beginListing(tick, world, e)
		case modeler.TopicListed:
			s.applyListing(tick, world, e)
		case modeler.TopicRead:
			s.handleRead(tick, world, e)
		case modeler.StoreRestored:
			s.handleRestored(tick, e)
		case modeler.TopicFailed:
			s.handleFailure(tick, world, e)
		}
	}
	s.applyHeld(tick, world)
	s.expireMissing(tick, world)
}

func (s *System) applyConfiguration(tick *modeler.Tick, world *modeler.World, next modeler.Configuration) {
	current := world.Configuration
	// Versions are the operators' own order. Positions are not: an older version may be in the copy from which the store has come back.
	if current.Loaded() && next.Version <= current.Version {
		return
	}
	world.Configuration = next
	tick.Emit(modeler.LogEvent{Name: modeler.LogEventConfigurationApplied, Fields: []modeler.LogField{
		{Key: "Version", Value: next.Version}, {Key: "Offset", Value: next.Offset},
		{Key: "Replaced", Value: current.Version}, {Key: "Routes", Value: next.Routes()},
	}})
}

func (s *System) applyDataCentre(tick *modeler.Tick, world *modeler.World, e modeler.DataCentreChanged) {
	known, ok := s.dataCentreOffsets[e.DataCentre]
	if ok && e.Offset <= known {
		return
	}
	_, wasOut := world.OutDataCentres.Get(e.DataCentre)
	if ok && wasOut != e.Out && s.restores.topics[modeler.Operators].isCopy(tick.Now, e.Offset, known) {
		s.holdDataCentre(tick, e, known)
		return
	}
	delete(s.restores.dataCentres, e.DataCentre)
	s.dataCentreOffsets[e.DataCentre] = e.Offset
	if e.Out {
		world.OutDataCentres.Put(e.DataCentre, e.Offset)
	} else {
		world.OutDataCentres.Delete(e.DataCentre)
	}
	if wasOut != e.Out {
		logDataCentre(tick, e.DataCentre, e.Out, e.Offset)
	}
}

func logDataCentre(tick *modeler.Tick, id modeler.DataCentreID, out bool, offset modeler.Position) {
	tick.Emit(modeler.LogEvent{Name: modeler.LogEventDataCentreChanged, Fields: []modeler.LogField{
		{Key: "DataCentre", Value: string(id)}, {Key: "Out", Value: out}, {Key: "Offset", Value: offset},
	}})
}

// outdated reports whether a record of an endpoint is of an earlier era than this node's state, as from a read or a node that has not noticed the new one
// yet. It may be lost, so that no later record would ever replace it.
func (s *System) outdated(world *modeler.World, position modeler.Position) bool {
	return position.Era() < world.NextOffsets[modeler.Endpoints].Era()
}

// advanceOffset reports whether the offset is higher than that of every earlier record of the endpoint. It then stores it and forgets a held record.
func (s *System) advanceOffset(world *modeler.World, id modeler.EndpointID, offset modeler.Position) bool {
	if known, ok := world.EndpointOffsets.Get(id); ok && offset <= known {
		return false
	}
	world.EndpointOffsets.Put(id, offset)
	delete(s.restores.endpoints, id)
	return true
}

func (s *System) applyEndpointChanged(tick *modeler.Tick, world *modeler.World, e modeler.EndpointChanged) {
	if s.outdated(world, e.Offset) {
		return
	}
	next := e.Endpoint
	if e.ColdFor > 0 {
		next.ColdUntil = tick.Now.Add(e.ColdFor)
	}
	current, known := world.Endpoints.Get(next.ID)
	if offset, ok := world.EndpointOffsets.Get(next.ID); ok && e.Offset > offset && s.restores.topics[modeler.Endpoints].isCopy(tick.Now, e.Offset, offset) {
		merged, ok := mergeCopy(current, next)
		if !known || !ok {
			s.holdEndpoint(tick, next.ID, e, e.Offset, offset)
			return
		}
		next = merged
	}
	if !s.advanceOffset(world, next.ID, e.Offset) {
		return
	}
	next.ChangeOffset = current.ChangeOffset
	if !known || current.Differs(next) {
		next.ChangeOffset = e.Offset
	}
	world.Endpoints.Put(next.ID, next)
	if !known || current.StartUnixMilli != next.StartUnixMilli || current.Address != next.Address {
		deleteEndpointState(world, next.ID)
	} else if health, ok := world.Health.Get(next.ID); ok && health.Misdirected {
		world.Health.Delete(next.ID)
	}
	if !known || current.Draining != next.Draining || current.StartUnixMilli != next.StartUnixMilli {
		name := modeler.LogEventEndpointChanged
		if !known {
			name = modeler.LogEventEndpointKnown
		}
		tick.Emit(modeler.LogEvent{Name: name, Fields: []modeler.LogField{
			{Key: "Endpoint", Value: string(next.ID)}, {Key: "Service", Value: string(next.Service)}, {Key: "Address", Value: next.Address},
			{Key: "DataCentre", Value: string(next.DataCentre)}, {Key: "Draining", Value: next.Draining},
			{Key: "ColdFor", Value: e.ColdFor}, {Key: "Offset", Value: e.Offset},
		}})
	}
}

// applyPeerChanges applies changes that another node read. Older records of an endpoint are ignored, so records from this node and from
// other nodes may arrive in any order.
func (s *System) applyPeerChanges(tick *modeler.Tick, world *modeler.World, body modeler.EndpointChanges) {
	for _, change := range body.Changes {
		switch e := change.Event().(type) {
		case modeler.EndpointChanged:
			s.applyEndpointChanged(tick, world, e)
		case modeler.EndpointRemoved:
			s.applyEndpointRemoved(tick, world, e)
		}
	}
}

// holdEndpoint keeps a record that may be of the copy from which the store has come back until the hold time has passed.
func (s *System) holdEndpoint(tick *modeler.Tick, id modeler.EndpointID, event modeler.Event, position, known modeler.Position) {
	s.restores.endpoints[id] = event
	logHeld(tick, modeler.Endpoints, string(id), position, known)
}

func (s *System) holdDataCentre(tick *modeler.Tick, event modeler.DataCentreChanged, known modeler.Position) {
	if _, held := s.restores.dataCentres[event.DataCentre]; !held {
		logHeld(tick, modeler.Operators, string(event.DataCentre), event.Offset, known)
	}
	s.restores.dataCentres[event.DataCentre] = event
}

func logHeld(tick *modeler.Tick, topic modeler.Topic, key string, position, known modeler.Position) {
	tick.Emit(modeler.LogEvent{Name: modeler.LogEventRecordHeld, Fields: []modeler.LogField{
		{Key: "Topic", Value: topic.String()}, {Key: "Key", Value: key}, {Key: "Offset", Value: position}, {Key: "Known", Value: known},
	}})
}

// applyHeld applies the held records whose hold time has passed: nobody has written them again, so that the store's word counts.
func (s *System) applyHeld(tick *modeler.Tick, world *modeler.World) {
	endpoints, dataCentres := s.restores.due(tick)
	for _, event := range endpoints {
		switch e := event.(type) {
		case modeler.EndpointChanged:
			s.applyEndpointChanged(tick, world, e)
		case modeler.EndpointRemoved:
			s.applyEndpointRemoved(tick, world, e)
		}
	}
	for _, e := range dataCentres {
		s.applyDataCentre(tick, world, e)
	}
}

// deleteEndpointState deletes the health and the assigned prefill work of an endpoint that was removed or restarted.
func deleteEndpointState(world *modeler.World, id modeler.EndpointID) {
	world.Health.Delete(id)
	world.PrefillEnd.Delete(id)
}

func (s *System) applyEndpointRemoved(tick *modeler.Tick, world *modeler.World, e modeler.EndpointRemoved) {
	if s.outdated(world, e.Offset) {
		return
	}
	if offset, ok := world.EndpointOffsets.Get(e.ID); ok && e.Offset > offset && s.restores.topics[modeler.Endpoints].isCopy(tick.Now, e.Offset, offset) {
		s.holdEndpoint(tick, e.ID, e, e.Offset, offset)
		return
	}
	if !s.advanceOffset(world, e.ID, e.Offset) {
		return
	}
	if _, ok := world.Endpoints.Get(e.ID); ok {
		s.handleMissingEntry(tick, world, e.ID, e.Offset, e.Unreadable)
	}
}

// handleMissingEntry removes an endpoint that has no entry any more, or marks it as missing if the entry may have expired because the store was
// unavailable.
func (s *System) handleMissingEntry(tick *modeler.Tick, world *modeler.World, id modeler.EndpointID, offset modeler.Position, unreadable bool) {
	endpoint, _ := world.Endpoints.Get(id)
	kept := !unreadable && !endpoint.Draining && s.mayReappear()
	if kept {
		if endpoint.MissingSince.IsZero() {
			world.Endpoints.Put(id, endpoint.WithMissing(tick.Now))
		}
	} else {
		world.Endpoints.Delete(id)
		deleteEndpointState(world, id)
	}
	tick.Emit(modeler.LogEvent{Name: modeler.LogEventEndpointRemoved, Fields: []modeler.LogField{
		{Key: "Endpoint", Value: string(id)}, {Key: "Offset", Value: offset}, {Key: "Kept", Value: kept}, {Key: "Unreadable", Value: unreadable},
	}})
}

// applyDropped adds endpoints whose entries were removed shortly before this process has started, as missing ones, if there are so many that the entries
// have expired because the store was unavailable. Otherwise the first requests after a restart of all nodes would go to the few endpoints that have
// written their entries again. They are dropped like other missing ones.
func (s *System) applyDropped(tick *modeler.Tick, world *modeler.World, entries []modeler.EndpointChanged) {
	replaced := map[string]bool{}
	for _, endpoint := range world.Endpoints.All() {
		replaced[endpoint.Address] = true
	}
	missing := make([]modeler.EndpointChanged, 0, len(entries))
	for _, entry := range entries {
		newer, known := world.EndpointOffsets.Get(entry.Endpoint.ID)
		if !entry.Endpoint.Draining && !replaced[entry.Endpoint.Address] && (!known || newer < entry.Offset) {
			missing = append(missing, entry)
		}
	}
	if float64(len(missing)) < minDroppedFraction*float64(len(missing)+world.Endpoints.Len()) {
		return
	}
	s.recoveredAt = tick.Now
	for _, entry := range missing {
		endpoint := entry.Endpoint.WithMissing(tick.Now)
		endpoint.ChangeOffset = entry.Offset
		world.EndpointOffsets.Put(endpoint.ID, entry.Offset)
		world.Endpoints.Put(endpoint.ID, endpoint)
	}
	tick.Emit(modeler.LogEvent{Name: modeler.LogEventEndpointsRecovered, Fields: []modeler.LogField{
		{Key: "Endpoints", Value: len(missing)}, {Key: "Dropped", Value: len(entries)},
	}})
}

// applyListing removes entities whose keys were not listed. Those with a record at or after the end of the listing are kept: the record was
// written after the listing began and received from another node.
func (s *System) applyListing(tick *modeler.Tick, world *modeler.World, e modeler.TopicListed) {
	switch e.Topic {
	case modeler.Endpoints:
		for id := range world.Endpoints.All() {
			if offset, _ := world.EndpointOffsets.Get(id); !e.Keys[string(id)] && offset < e.End {
				s.handleMissingEntry(tick, world, id, world.NextOffsets[modeler.Endpoints], false)
			}
		}
	case modeler.Operators:
		for id, offset := range world.OutDataCentres.All() {
			if e.Keys[string(id)] || offset >= e.End {
				continue
			}
			if r := s.restores.topics[modeler.Operators]; r.concerns(tick.Now, offset) {
				// Any record of the new era is later than this position.
				s.holdDataCentre(tick, modeler.DataCentreChanged{DataCentre: id, Offset: modeler.NewPosition(r.end.Era(), 0)}, offset)
			} else {
				world.OutDataCentres.Delete(id)
				logDataCentre(tick, id, false, world.NextOffsets[modeler.Operators])
			}
		}
	case modeler.Nodes:
	}
}

func (s *System) handleRead(tick *modeler.Tick, world *modeler.World, e modeler.TopicRead) {
	if e.Next.Era() < world.NextOffsets[e.Topic].Era() {
		return
	}
	if e.Topic == modeler.Endpoints {
		s.confirm(tick, e.ConfirmedAt)
	}
	world.NextOffsets[e.Topic] = max(world.NextOffsets[e.Topic], e.Next)
}

// confirm records that the state of the endpoints was current at a time, according to a read of this node or another one. The store has recovered if that
// is after failedAt.
func (s *System) confirm(tick *modeler.Tick, at time.Time) {
	if !at.After(s.confirmedAt) {
		return
	}
	s.confirmedAt = at
	if !s.unavailable || !at.After(s.failedAt) {
		return
	}
	s.unavailable, s.recoveredAt = false, tick.Now
	tick.Emit(modeler.LogEvent{Name: modeler.LogEventStoreRegained, Fields: []modeler.LogField{
		{Key: "Topic", Value: modeler.Endpoints.String()}, {Key: "SinceFailure", Value: tick.Now.Sub(s.failedAt)},
	}})
}

// handleRestored logs that the store has come back from a copy. The first era that a process sees is not a return.
func (s *System) handleRestored(tick *modeler.Tick, e modeler.StoreRestored) {
	if e.Era <= s.era {
		return
	}
	previous := s.era
	if s.era = e.Era; previous > 0 {
		// Entries that were written after the copy was made are missing until their endpoints write them again, as after an outage.
		s.recoveredAt = tick.Now
		tick.Emit(modeler.LogEvent{Name: modeler.LogEventStoreRestored, Fields: []modeler.LogField{
			{Key: "Era", Value: e.Era}, {Key: "Previous", Value: previous},
		}})
	}
}

// handleFailure records that the store is unavailable if no node has read it since the failed call started, nor shortly before now: a call that gets no
// response fails at its time limit, which may be after the store's recovery, and the store may turn away single nodes.
func (s *System) handleFailure(tick *modeler.Tick, world *modeler.World, e modeler.TopicFailed) {
	if e.Topic != modeler.Endpoints || s.unavailable || !e.StartedAt.After(s.confirmedAt) || tick.Now.Sub(s.confirmedAt) <= maxQuietTime {
		return
	}
	s.unavailable, s.failedAt = true, e.StartedAt
	tick.Emit(modeler.LogEvent{Name: modeler.LogEventStoreLost, Fields: []modeler.LogField{
		{Key: "Topic", Value: e.Topic.String()}, {Key: "Reason", Value: e.Reason}, {Key: "Offset", Value: world.NextOffsets[e.Topic]},
	}})
}

// mayReappear reports whether a missing entry may have expired because the store was unavailable: until a read confirms the state as of
// reappearTimeout after the store's recovery. The time of the removal does not count, since an endpoint may also leave in this time.
func (s *System) mayReappear() bool {
	return s.unavailable || !s.recoveredAt.IsZero() && s.confirmedAt.Before(s.recoveredAt.Add(reappearTimeout))
}

// expireMissing removes the missing endpoints once they may not reappear any more.
func (s *System) expireMissing(tick *modeler.Tick, world *modeler.World) {
	if s.mayReappear() {
		return
	}
	for id, endpoint := range world.Endpoints.All() {
		if endpoint.MissingSince.IsZero() {
			continue
		}
		world.Endpoints.Delete(id)
		deleteEndpointState(world, id)
		tick.Emit(modeler.LogEvent{Name: modeler.LogEventEndpointLapsed, Fields: []modeler.LogField{
			{Key: "Endpoint", Value: string(id)}, {Key: "MissingFor", Value: tick.Now.Sub(endpoint.MissingSince)},
		}})
	}
}
