package placer

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// balanceWeight is the weight of the newest request in the share of its kind that is on time: about ten requests decide it.
	balanceWeight = 0.1
	// balanceGain is the favour that a kind gets for each unit by which its share lies below that of the best one.
	balanceGain = 1.0
)

// kind groups requests of a service that have the same objective.
type kind struct {
	service modeler.ServiceID
	target  time.Duration
}

func kindOf(request modeler.Request) kind {
	return kind{service: request.Service, target: request.Due.Sub(request.Arrived).Round(time.Millisecond)}
}

// balance keeps the share of placed requests that are on time for each kind, so that long reads are not given up for short ones or the other
// way round.
type balance struct{ shares map[kind]float64 }

func newBalance() balance { return balance{shares: map[kind]float64{}} }

// count records a decision.
func (b balance) count(request modeler.Request, onTime bool) {
	share, ok := b.shares[kindOf(request)]
	if !ok {
		share = 1
	}
	share *= 1 - balanceWeight
	if onTime {
		share += balanceWeight
	}
	b.shares[kindOf(request)] = share
}

// favour returns the multiple of the weight that a request of this kind gets.
func (b balance) favour(request modeler.Request) float64 {
	own, ok := b.shares[kindOf(request)]
	if !ok {
		return 1
	}
	best := own
	for k, share := range b.shares {
		if k.service == request.Service {
			best = max(best, share)
		}
	}
	return 1 + balanceGain*(best-own)
}
