// Package limiter implements the retry budget: it limits the attempts that all nodes combined send to endpoints beyond the first attempt
// of each request.
package limiter

import (
	"slices"
	"sync"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Options define the limit for all nodes combined: in each window, a service gets at most Ratio times the number of its requests plus
// Slack retries.
type Options struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// usableRatio and usableSlack are the fractions of Ratio and Slack that all nodes combined use. The rest covers windows of the nodes
	// that are not aligned with each other and nodes that restart with a full budget.
	usableRatio = 0.8
	usableSlack = 0.5
)

// Budget counts the requests and retries of this node by service and limits the retries. It is safe for concurrent use.
type Budget struct {
	options Options
	now     func() time.Time
	mu      sync.Mutex
	windows map[modeler.ServiceID]window
}

// window holds the times of the requests and retries of one service in the last window, oldest first.
type window struct{ requests, retries []time.Time }

// since returns the window without the entries before oldest.
func (w window) since(oldest time.Time) window {
	return window{requests: trimBefore(w.requests, oldest), retries: trimBefore(w.retries, oldest)}
}

func trimBefore(times []time.Time, oldest time.Time) []time.Time {
	start, _ := slices.BinarySearchFunc(times, oldest, time.Time.Compare)
	return times[start:]
}

// NewBudget returns an unused budget: until requests are counted, only the slack is available.
func NewBudget(options Options, now func() time.Time) *Budget {
	return &Budget{options: options, now: now, windows: map[modeler.ServiceID]window{}}
}

// AddRequest counts the first attempt of a request.
func (b *Budget) AddRequest(service modeler.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	w := b.windows[service].since(now.Add(-b.options.Window))
	w.requests = append(w.requests, now)
	b.windows[service] = w
}

// Retries returns the number of this node's retries for all services in the last window.
func (b *Budget) Retries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest, retries := b.now().Add(-b.options.Window), 0
	for _, w := range b.windows {
		retries += len(w.since(oldest).retries)
	}
	return retries
}

// Allows reports whether the budget allows a retry now, without counting it. nodes is the maximum number of nodes that may exist.
func (b *Budget) Allows(service modeler.ServiceID, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windows[service].since(b.now().Add(-b.options.Window))
	return b.allowed(w, nodes)
}

// allowed reports whether one more retry is within the limit of the window.
func (b *Budget) allowed(w window, nodes int) bool {
	limit := usableRatio*b.options.Ratio*float64(len(w.requests)) + usableSlack*b.options.Slack/float64(max(nodes, 1))
	return float64(len(w.retries)+1) <= limit
}

// TryRetry counts a retry and reports whether the budget allows it; a retry that is not allowed is not counted. nodes is the maximum
// number of nodes that may exist.
func (b *Budget) TryRetry(service modeler.ServiceID, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	w := b.windows[service].since(now.Add(-b.options.Window))
	allowed := b.allowed(w, nodes)
	if allowed {
		w.retries = append(w.retries, now)
	}
	b.windows[service] = w
	return allowed
}
