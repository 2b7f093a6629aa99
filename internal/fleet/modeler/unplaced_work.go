package modeler

import "time"

// UnplacedWork is what an engine has said that it works on and that no node of this fleet knows of: requests of processes that have ended without
// closing their connections, as in a loss of power.
type UnplacedWork struct {
	// Requests is the number of requests that run or wait at the engine, and Memory what they use. Neither is negative.
	Requests int
	Memory   Tokens
	// SeenAt is when the engine said so.
	SeenAt time.Time
}

// minKnownFraction is the fraction of the endpoints for which a digest names a load if its sender has placed requests for some time. A process that
// regards itself as the coordinator for a moment after its start names few.
const minKnownFraction = 0.25

// Covers reports whether the loads of a digest tell what runs in the fleet.
func (w *World) Covers(loads map[EndpointID]LoadSummary) bool {
	return len(loads) > 0 && float64(len(loads)) >= minKnownFraction*float64(w.Endpoints.Len())
}

// PutUnplacedWork records the unplaced work of an engine, or removes the record if there is none.
func (w *World) PutUnplacedWork(id EndpointID, work UnplacedWork) {
	known, had := w.UnplacedWork.Get(id)
	if work.Requests <= 0 {
		if !had {
			return
		}
		w.UnplacedWork.Delete(id)
		w.Releases++
	} else {
		w.UnplacedWork.Put(id, work)
		if work.Requests < known.Requests {
			w.Releases++
		}
	}
	w.changedEndpoints[id] = struct{}{}
}
