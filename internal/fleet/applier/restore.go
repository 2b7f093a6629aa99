package applier

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// endpointHoldTime is how long the copy of an endpoint's entry does not replace what is known. An entry that nobody writes expires after three
	// heartbeat intervals, so that one of an endpoint that has left is gone by then.
	endpointHoldTime = 5 * time.Second
	// operatorHoldTime is the same for data centres that operators take out of service and back. They write again what was lost.
	operatorHoldTime = 3 * time.Second
)

// restore is the return of a topic from a copy of the store. It has the zero value in a process that has seen one era only.
type restore struct {
	// end is the end of the topic at the first listing of the new era that this node has seen. Records before it may be those of the copy.
	end modeler.Position
	// until is until when such records do not replace what is known.
	until time.Time
}

// concerns reports whether something that is known from a record at the position known, of an earlier era, may be newer than the copy.
func (r restore) concerns(now time.Time, known modeler.Position) bool {
	return now.Before(r.until) && known.Era() < r.end.Era()
}

// isCopy reports whether a record may be older than the one at the position known. The copy is a part of the earlier era's records from their start, so that a
// record of the copy has a lower offset than a later one of its key. At the same or a higher offset it was written after the return.
func (r restore) isCopy(now time.Time, position, known modeler.Position) bool {
	return r.concerns(now, known) && position.Era() == r.end.Era() && position < r.end && position.Offset() < known.Offset()
}

// restores holds the returns of the topics Operators and Endpoints, and the records that may be copies: the last one of each entity. They are applied when
// the hold time has passed, unless a later one has come.
type restores struct {
	topics      [2]restore
	endpoints   map[modeler.EndpointID]modeler.Event
	dataCentres map[modeler.DataCentreID]modeler.DataCentreChanged
}

func newRestores() restores {
	return restores{endpoints: map[modeler.EndpointID]modeler.Event{}, dataCentres: map[modeler.DataCentreID]modeler.DataCentreChanged{}}
}

// beginListing records the return of a topic at the first listing of a new era.
func (r *restores) beginListing(tick *modeler.Tick, world *modeler.World, e modeler.ListingBegan) {
	if int(e.Topic) >= len(r.topics) {
		return
	}
	known := world.NextOffsets[e.Topic]
	if known == 0 || e.End.Era() <= max(known.Era(), r.topics[e.Topic].end.Era()) {
		return
	}
	holdTime := operatorHoldTime
	if e.Topic == modeler.Endpoints {
		holdTime = endpointHoldTime
		clear(r.endpoints)
	} else {
		clear(r.dataCentres)
	}
	r.topics[e.Topic] = restore{end: e.End, until: tick.Now.Add(holdTime)}
	tick.Emit(modeler.LogEvent{Name: modeler.LogEventTopicRestored, Fields: []modeler.LogField{
		{Key: "Topic", Value: e.Topic.String()}, {Key: "End", Value: e.End}, {Key: "Before", Value: known},
	}})
}

// due returns and forgets the held records whose hold time has passed, and asks for a tick when the others are due.
func (r *restores) due(tick *modeler.Tick) (endpoints []modeler.Event, dataCentres []modeler.DataCentreChanged) {
	if len(r.endpoints) > 0 && !holds(tick, r.topics[modeler.Endpoints]) {
		for _, e := range r.endpoints {
			endpoints = append(endpoints, e)
		}
		clear(r.endpoints)
	}
	if len(r.dataCentres) > 0 && !holds(tick, r.topics[modeler.Operators]) {
		for _, e := range r.dataCentres {
			dataCentres = append(dataCentres, e)
		}
		clear(r.dataCentres)
	}
	return endpoints, dataCentres
}

func holds(tick *modeler.Tick, r restore) bool {
	if tick.Now.Before(r.until) {
		tick.WakeAt(r.until)
		return true
	}
	return false
}

// mergeCopy returns the entry that results from one that may be a copy and what is known of the same endpoint. It returns false if the entry is that of an
// earlier process. A process that leaves never takes requests again, and may have become cold since the copy was made.
func mergeCopy(known, copied modeler.Endpoint) (modeler.Endpoint, bool) {
	if copied.StartUnixMilli != known.StartUnixMilli {
		return copied, copied.StartUnixMilli > known.StartUnixMilli
	}
	if known.Draining {
		copied = copied.WithDraining()
	}
	if known.ColdUntil.After(copied.ColdUntil) {
		copied = copied.WithColdUntil(known.ColdUntil)
	}
	return copied, true
}
