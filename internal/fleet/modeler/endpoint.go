package modeler

import (
	"math"
	"time"
)

// Endpoint describes one start of a model engine or plain service.
type Endpoint struct {
	ID         EndpointID
	Service    ServiceID
	Address    string
	DataCentre DataCentreID
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// Draining is set if the endpoint must not receive new requests.
	Draining bool
	// ColdUntil is the end of the cold start; from then on Service.ColdRate does not limit the endpoint.
	ColdUntil time.Time
	// StartUnixMilli is the start time of the endpoint's process in Unix milliseconds, as reported by the endpoint.
	StartUnixMilli int64
	// ChangeOffset is the store offset of the last record that changed any field other than ColdUntil.
	ChangeOffset Position
	// MissingSince is set while the endpoint has no entry in the store and the entry may have expired because of a store failure.
	MissingSince time.Time
}

// WithDraining returns a copy of the endpoint with Draining set.
func (e Endpoint) WithDraining() Endpoint {
	e.Draining = true
	return e
}

// WithColdUntil returns a copy of the endpoint with another end of its cold start.
func (e Endpoint) WithColdUntil(until time.Time) Endpoint {
	e.ColdUntil = until
	return e
}

// WithMissing returns a copy of the endpoint with MissingSince set to the time at which its entry disappeared, or to zero once the entry
// is back.
func (e Endpoint) WithMissing(since time.Time) Endpoint {
	e.MissingSince = since
	return e
}

// Differs reports whether e and next differ in more than the cold start. It is always true while the entry of e is missing.
func (e Endpoint) Differs(next Endpoint) bool {
	return e.Service != next.Service || e.Address != next.Address || e.DataCentre != next.DataCentre || e.Slots != next.Slots ||
		e.Draining != next.Draining || e.StartUnixMilli != next.StartUnixMilli || !e.MissingSince.IsZero()
}

// Cold reports whether the endpoint is in its cold start.
func (e Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Health is the state of an endpoint as derived from the outcomes of requests.
type Health struct {
	// Failures is the number of consecutive connection failures and timeouts since the last response.
	Failures int
	// AvoidUntil is the end of the back-off; until then the endpoint receives no requests.
	AvoidUntil time.Time
	// failureRate is an exponentially weighted moving average of failures, from 0 to 1, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// paceLog is the natural logarithm of the pace as of paceAt. It is never negative.
	paceLog float64
	paceAt  time.Time
	// LastActivityAt is the time of the last event or response from the endpoint.
	LastActivityAt time.Time
	// Misdirected is set when a different endpoint responded at the address. It stays set until the endpoint's entry changes.
	Misdirected bool
}

const (
	// failureWeight is the weight of the newest attempt in FailureRate: roughly the last 8 attempts determine it.
	failureWeight = 0.12
	// failureHalfLife is the half-life of a failure rate. It is short, so that an avoided endpoint is tried again after a few seconds.
	failureHalfLife = 3 * time.Second
	// paceHalfLife is the half-life of the logarithm of a pace. An engine that is avoided because it was slow gives no samples, so that its
	// recovery shows only once its pace has decayed. A pace of 6 has fallen to 1.25 after 9 s.
	paceHalfLife = 3 * time.Second
	// paceKept is the part of the logarithm of a pace that remains after a first event that came in time.
	paceKept = 0.3
	// minSlowPace is the smallest sample that counts as slow. Smaller ones also come from engines that are only loaded.
	minSlowPace = 3
	// slowPace is the pace from which an endpoint is reported as slow.
	slowPace = 2
	// paceWeight is the weight of the newest sample that is slower than the pace.
	paceWeight = 0.8
	// maxPace bounds a sample.
	maxPace = 16
	// minBackoff is the back-off after the first connection failure or timeout. It doubles with each consecutive failure.
	minBackoff = 500 * time.Millisecond
	// maxBackoff caps the back-off, so that an endpoint that has recovered receives requests again within seconds.
	maxBackoff = 4 * time.Second
)

// FailureRate returns the fraction of recent attempts that failed, from 0 to 1. It decays over time, because an endpoint that is avoided
// for its failures gets no attempts that could lower the rate.
func (h Health) FailureRate(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	return h.failureRate * math.Exp2(-float64(now.Sub(h.failureRateAt))/float64(failureHalfLife))
}

// withSample returns the health with one more sample in the moving average: 1 for a failure, 0 for a success.
func (h Health) withSample(now time.Time, failed float64) Health {
	h.failureRate = h.FailureRate(now)*(1-failureWeight) + failureWeight*failed
	h.failureRateAt = now
	return h
}

// Pace returns the factor, at least 1, by which the endpoint has taken longer than expected lately. It decays over time.
func (h Health) Pace(now time.Time) float64 {
	if h.paceLog == 0 {
		return 1
	}
	return math.Exp(h.paceLog * math.Exp2(-float64(now.Sub(h.paceAt))/float64(paceHalfLife)))
}

// Slow reports whether the endpoint has taken at least twice as long as expected lately.
func (h Health) Slow(now time.Time) bool { return h.Pace(now) >= slowPace }

// WithPace returns the health after a sample of the pace: the time that a first event took divided by the expected time. share, from 0 to 1, is
// the part of a delay that is attributed to this endpoint; it is below 1 if others may have caused the delay.
func (h Health) WithPace(now time.Time, sample, share float64) Health {
	known := math.Log(h.Pace(now))
	switch slow := math.Log(min(sample, maxPace)); {
	case sample < minSlowPace:
		h.paceLog = known * paceKept
	case slow > known:
		h.paceLog = known + (slow-known)*share*paceWeight
	default:
		return h
	}
	h.paceAt = now
	return h
}

// WithActivity returns the health after an event or a response from the endpoint. It ends the back-off.
func (h Health) WithActivity(now time.Time) Health {
	h.Failures, h.AvoidUntil, h.LastActivityAt = 0, time.Time{}, now
	return h
}

// WithSuccess returns the health after a successful response.
func (h Health) WithSuccess(now time.Time) Health { return h.withSample(now, 0).WithActivity(now) }

// WithError returns the health after a response that reports a failure. The response shows that the endpoint is alive, so it ends the
// back-off.
func (h Health) WithError(now time.Time) Health { return h.withSample(now, 1).WithActivity(now) }

// WithNoResponse returns the health after a connection failure or a timeout. It starts a back-off.
func (h Health) WithNoResponse(now time.Time) Health {
	h = h.withSample(now, 1)
	h.Failures++
	h.AvoidUntil = now.Add(min(minBackoff<<min(h.Failures-1, 8), maxBackoff))
	return h
}

// WithMisdirected returns the health of an endpoint whose address belongs to a different endpoint.
func (h Health) WithMisdirected() Health {
	h.Misdirected = true
	return h
}
