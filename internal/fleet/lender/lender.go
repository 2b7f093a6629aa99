// Package lender lends retries to nodes that have used up their own part of the retry budget. The node that places requests for all keeps the
// part that it lends, so that the failures of a few nodes can use what the others do not need.
package lender

import (
	"time"

	"golang.org/x/time/rate"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Options define what may be lent.
type Options struct {
	// Slack is the number of retries that all nodes together may make in each Window in addition to the ratio, and Fraction the part of it that one
	// node lends in any window. Zero means that nothing is lent.
	Slack, Fraction float64
	Window          time.Duration
}

// burstFraction is the part of what is lent in a window that may be lent at once.
const burstFraction = 0.4

// Lender lends the retries of each service. It is used by the control goroutine only.
type Lender struct {
	options  Options
	services map[modeler.ServiceID]*rate.Limiter
}

// New returns a lender that has nothing to lend yet: the node that placed requests before may have lent its part just now.
func New(options Options) *Lender {
	return &Lender{options: options, services: map[modeler.ServiceID]*rate.Limiter{}}
}

// Lend reports whether a retry for a service may be lent now and, if so, counts it. In any window, it lends at most Slack times Fraction, rounded
// down to what a burst allows.
func (l *Lender) Lend(now time.Time, service modeler.ServiceID) bool {
	total := l.options.Slack * l.options.Fraction
	burst := int(total * burstFraction)
	if burst < 1 || l.options.Window <= 0 {
		return false
	}
	limiter, ok := l.services[service]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit((total-float64(burst))/l.options.Window.Seconds()), burst)
		limiter.AllowN(now, burst)
		l.services[service] = limiter
	}
	return limiter.AllowN(now, 1)
}

// Forget removes the services that known does not have. Their limiters would stay for ever.
func (l *Lender) Forget(known func(modeler.ServiceID) bool) {
	for id := range l.services {
		if !known(id) {
			delete(l.services, id)
		}
	}
}
