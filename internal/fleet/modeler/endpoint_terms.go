package modeler

import "time"

// EndpointTerms is what an endpoint has said about the requests that it takes.
type EndpointTerms struct {
	// StartUnixMilli is the start time of the endpoint's process that the terms are about. They end with it.
	StartUnixMilli int64
	// Leaving stays set once the endpoint has said that it is shutting down.
	Leaving bool
	// Limited is set while the endpoint names a limit. Limit is the number of requests a second that it takes from all nodes together.
	Limited bool
	Limit   float64
	// LimitAt is when the last response was received that named a limit or showed that there is none.
	LimitAt time.Time
	// PausedUntil is until when the endpoint wants no requests from this node. Other nodes are not concerned.
	PausedUntil time.Time
}

// WithLimit returns the terms after a response that was received at a given time and named a limit, or none if limited is not set.
func (t EndpointTerms) WithLimit(limited bool, limit float64, at time.Time) EndpointTerms {
	t.Limited, t.Limit, t.LimitAt = limited, limit, at
	return t
}

// WithLeaving returns the terms after the endpoint has said that it is shutting down.
func (t EndpointTerms) WithLeaving() EndpointTerms {
	t.Leaving = true
	return t
}

// WithPause returns the terms after the endpoint has asked this node for a pause. An earlier one that lasts longer stays in force.
func (t EndpointTerms) WithPause(until time.Time) EndpointTerms {
	if until.After(t.PausedUntil) {
		t.PausedUntil = until
	}
	return t
}

// Paused reports whether this node must not send requests to the endpoint.
func (t EndpointTerms) Paused(now time.Time) bool { return now.Before(t.PausedUntil) }

// Differs reports whether the terms differ in what other nodes have to know.
func (t EndpointTerms) Differs(other EndpointTerms) bool {
	return t.StartUnixMilli != other.StartUnixMilli || t.Leaving != other.Leaving || t.Limited != other.Limited || t.Limit != other.Limit
}

// TermsOf returns the terms of an endpoint's current process, or the zero value if it has stated none.
func (w *World) TermsOf(endpoint Endpoint) EndpointTerms {
	if terms, ok := w.Terms.Get(endpoint.ID); ok && terms.StartUnixMilli == endpoint.StartUnixMilli {
		return terms
	}
	return EndpointTerms{StartUnixMilli: endpoint.StartUnixMilli}
}

// ReportedTerms are terms of an endpoint as another node knows them.
type ReportedTerms struct {
	Endpoint       EndpointID
	StartUnixMilli int64
	Leaving        bool
	Limited        bool
	Limit          float64
	// Age is the time since LimitAt.
	Age time.Duration
}

// Report returns the terms for other nodes.
func (t EndpointTerms) Report(id EndpointID, now time.Time) ReportedTerms {
	return ReportedTerms{
		Endpoint: id, StartUnixMilli: t.StartUnixMilli, Leaving: t.Leaving, Limited: t.Limited, Limit: t.Limit, Age: now.Sub(t.LimitAt),
	}
}

// WithReport returns the terms after a report about the same process from another node. The newer of two limits holds.
func (t EndpointTerms) WithReport(report ReportedTerms, now time.Time) EndpointTerms {
	if at := now.Add(-report.Age); at.After(t.LimitAt) {
		t = t.WithLimit(report.Limited, report.Limit, at)
	}
	t.Leaving = t.Leaving || report.Leaving
	return t
}

// ServiceLimited reports whether an endpoint of the service names a limit.
func (w *World) ServiceLimited(service ServiceID) bool {
	for id, terms := range w.Terms.All() {
		if endpoint, ok := w.Endpoints.Get(id); ok && terms.Limited && endpoint.Service == service && endpoint.StartUnixMilli == terms.StartUnixMilli {
			return true
		}
	}
	return false
}
