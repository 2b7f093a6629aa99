package modeler

import (
	"math"
	"time"
)

// Endpoint is the row of one start of a model engine or plain service.
type Endpoint struct {
	ID         EndpointID
	Service    ServiceID
	Address    string
	DataCentre DataCentreID
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Draining endpoints get no new work.
	Draining bool
	// ColdUntil is when the endpoint sustains full load.
	ColdUntil time.Time
	// Born is the start of the endpoint's process in Unix milliseconds, as the endpoint reports it.
	Born int64
	// ChangedAt is the offset of the record that last changed something beside the cold start.
	ChangedAt int64
	// MissingSince is set while the entry has vanished from the store and the store itself was disturbed.
	MissingSince time.Time
}

// WithDraining returns the row of an endpoint that gets no new work.
func (e Endpoint) WithDraining() Endpoint {
	e.Draining = true
	return e
}

// WithMissing returns the row of an endpoint whose entry vanished at that time; zero when it is back.
func (e Endpoint) WithMissing(since time.Time) Endpoint {
	e.MissingSince = since
	return e
}

// Differs tells whether another entry of the endpoint says something new about it, beside its cold start.
func (e Endpoint) Differs(next Endpoint) bool {
	return e.Service != next.Service || e.Address != next.Address || e.DataCentre != next.DataCentre || e.Slots != next.Slots ||
		e.Draining != next.Draining || e.Born != next.Born || !e.MissingSince.IsZero()
}

// Cold tells whether the endpoint is in cold start.
func (e Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Health is what the answers of an endpoint say about it.
type Health struct {
	// Failures counts failures since the last success.
	Failures int
	// AvoidUntil is when the endpoint is tried again.
	AvoidUntil time.Time
	// failureRate is a moving average over answers, from 0 to 1, as of judgedAt.
	failureRate float64
	judgedAt    time.Time
	// LivedAt is when an event or an answer last came.
	LivedAt time.Time
	// Misdirected is set when another endpoint answered at the address. It stays until the endpoint's entry changes.
	Misdirected bool
}

const (
	// failureWeight is the weight of the newest answer in FailureRate: about 8 answers decide it.
	failureWeight = 0.12
	// failureHalfLife is the time in which half of a failure rate is forgotten: a few seconds show whether an endpoint still fails.
	failureHalfLife = 3 * time.Second
	// firstAvoidance is how long an endpoint is left alone after its first failure to answer, doubled with each further one.
	firstAvoidance = 500 * time.Millisecond
	// maxAvoidance bounds the doubling, so that an endpoint that is back gets work within seconds.
	maxAvoidance = 4 * time.Second
)

// FailureRate returns the share of recent answers that failed. It fades, because an endpoint that is left alone for its failures gives no
// answers that could clear it.
func (h Health) FailureRate(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	return h.failureRate * math.Exp2(-float64(now.Sub(h.judgedAt))/float64(failureHalfLife))
}

// judged returns the health with one more answer in the moving average.
func (h Health) judged(now time.Time, failed float64) Health {
	h.failureRate = h.FailureRate(now)*(1-failureWeight) + failureWeight*failed
	h.judgedAt = now
	return h
}

// WithLife returns the health after a sign of life.
func (h Health) WithLife(now time.Time) Health {
	h.Failures, h.AvoidUntil, h.LivedAt = 0, time.Time{}, now
	return h
}

// WithSuccess returns the health after an answer.
func (h Health) WithSuccess(now time.Time) Health { return h.judged(now, 0).WithLife(now) }

// WithError returns the health after an answer that reports a failure. The endpoint is alive.
func (h Health) WithError(now time.Time) Health { return h.judged(now, 1).WithLife(now) }

// WithSilence returns the health after a connection that failed or fell silent.
func (h Health) WithSilence(now time.Time) Health {
	h = h.judged(now, 1)
	h.Failures++
	h.AvoidUntil = now.Add(min(firstAvoidance<<min(h.Failures-1, 8), maxAvoidance))
	return h
}

// WithMisdirected returns the health of an endpoint whose address belongs to another one.
func (h Health) WithMisdirected() Health {
	h.Misdirected = true
	return h
}
