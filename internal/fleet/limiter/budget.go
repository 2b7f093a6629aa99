// Package limiter bounds repeats: what all nodes together may send to endpoints beyond the first attempt of each request.
package limiter

import (
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

// row is the state of one service.
type row struct {
	// earned repeats come from requests and last for a window; at is when they were last aged.
	earned float64
	at     time.Time
	// spent holds the times of repeats paid from the slack in the last window.
	spent []time.Time
}

// NewBudget returns a budget that is full.
func NewBudget(options Options, now func() time.Time) *Budget {
	return &Budget{options: options, now: now, rows: map[modeler.ServiceID]row{}}
}

// Earn counts the first attempt of a request.
func (b *Budget) Earn(service modeler.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.aged(service)
	r.earned += b.options.Ratio * earnedPart
	b.rows[service] = r
}

// Spend takes one repeat and tells whether it is allowed. nodes is the number of nodes that may exist.
func (b *Budget) Spend(service modeler.ServiceID, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.aged(service)
	defer func() { b.rows[service] = r }()
	if r.earned >= 1 {
		r.earned--
		return true
	}
	if float64(len(r.spent)+1) > b.options.Slack*slackPart/float64(max(nodes, 1)) {
		return false
	}
	r.spent = append(r.spent, b.now())
	return true
}

// aged returns the row with earned repeats decayed over the window and old expenses dropped.
func (b *Budget) aged(service modeler.ServiceID) row {
	now := b.now()
	r, ok := b.rows[service]
	if !ok {
		return row{at: now}
	}
	left := 1 - float64(now.Sub(r.at))/float64(b.options.Window)
	r.earned *= max(left, 0)
	r.at = now
	for len(r.spent) > 0 && now.Sub(r.spent[0]) > b.options.Window {
		r.spent = r.spent[1:]
	}
	return r
}
