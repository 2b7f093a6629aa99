package placer

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// onTimeSmoothing is the weight of the newest request in the moving average, which therefore covers about ten requests.
	onTimeSmoothing = 0.1
	// onTimeGain: the weight factor of a class is 1 plus onTimeGain times the difference between the best on-time rate of the service and that
	// of the class.
	onTimeGain = 1.0
)

// requestClass identifies the requests of a service that have the same target for the first event.
type requestClass struct {
	service modeler.ServiceID
	target  time.Duration
}

func classOf(request modeler.Request) requestClass {
	return requestClass{service: request.Service, target: request.Due.Sub(request.Arrived).Round(time.Millisecond)}
}

// onTimeRates tracks, per class, the fraction of decided requests that are expected to be on time; refused ones count as late. Classes with
// a low rate get a larger weight, so that neither long nor short prompts are starved.
type onTimeRates struct{ rates map[requestClass]float64 }

func newOnTimeRates() onTimeRates { return onTimeRates{rates: map[requestClass]float64{}} }

// record updates the rate of the request's class.
func (r onTimeRates) record(request modeler.Request, onTime bool) {
	rate, ok := r.rates[classOf(request)]
	if !ok {
		rate = 1
	}
	rate *= 1 - onTimeSmoothing
	if onTime {
		rate += onTimeSmoothing
	}
	r.rates[classOf(request)] = rate
}

// weightFactor returns the factor, at least 1, by which the weight of the request is multiplied.
func (r onTimeRates) weightFactor(request modeler.Request) float64 {
	own, ok := r.rates[classOf(request)]
	if !ok {
		return 1
	}
	best := own
	for class, rate := range r.rates {
		if class.service == request.Service {
			best = max(best, rate)
		}
	}
	return 1 + onTimeGain*(best-own)
}
