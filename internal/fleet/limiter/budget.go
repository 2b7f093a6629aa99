// Package limiter bounds repeats: what all nodes together may send to endpoints beyond the first attempt of each request.
package limiter

import (
	"slices"
	"sync"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// Options give the limit over all nodes: in each window, a service gets at most Ratio times its requests plus Slack repeats.
type Options struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// earnedPart is the part of the ratio that a request earns, and slackPart the part of the slack that all nodes use together; the
	// rest covers windows that do not match and nodes that started again with a full budget.
	earnedPart = 0.8
	slackPart  = 0.5
)

// Budget counts the repeats of this node by service. It is safe for concurrent use.
type Budget struct {
	options Options
	now     func() time.Time
	mu      sync.Mutex
	rows    map[modeler.ServiceID]row
}

// row holds the times of the last window for one service, oldest first.
type row struct{ requests, repeats []time.Time }

// after returns the row without what is older than the given time.
func (r row) after(oldest time.Time) row {
	return row{requests: newer(r.requests, oldest), repeats: newer(r.repeats, oldest)}
}

func newer(times []time.Time, oldest time.Time) []time.Time {
	at, _ := slices.BinarySearchFunc(times, oldest, time.Time.Compare)
	return times[at:]
}

// NewBudget returns a budget that is full.
func NewBudget(options Options, now func() time.Time) *Budget {
	return &Budget{options: options, now: now, rows: map[modeler.ServiceID]row{}}
}

// Earn counts the first attempt of a request.
func (b *Budget) Earn(service modeler.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	r := b.rows[service].after(now.Add(-b.options.Window))
	r.requests = append(r.requests, now)
	b.rows[service] = r
}

// Repeats returns the number of repeats in the window, of all services.
func (b *Budget) Repeats() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest, repeats := b.now().Add(-b.options.Window), 0
	for _, r := range b.rows {
		repeats += len(r.after(oldest).repeats)
	}
	return repeats
}

// Spend takes one repeat and tells whether it is allowed. nodes is the number of nodes that may exist.
func (b *Budget) Spend(service modeler.ServiceID, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	r := b.rows[service].after(now.Add(-b.options.Window))
	allowed := earnedPart*b.options.Ratio*float64(len(r.requests)) + slackPart*b.options.Slack/float64(max(nodes, 1))
	if float64(len(r.repeats)+1) <= allowed {
		r.repeats = append(r.repeats, now)
		b.rows[service] = r
		return true
	}
	b.rows[service] = r
	return false
}
