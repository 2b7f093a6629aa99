// Package observer polls endpoints and the platform's instance list for their state and posts the responses as events.
package observer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

const (
	// reportInterval is the time between two reports of an endpoint that this node holds.
	reportInterval = time.Second
	reportTimeout  = 2 * time.Second
	// unreachableAfter is the number of consecutive failed reports after which an endpoint counts as unreachable.
	unreachableAfter = 2
	// listInterval is the time between two reads of the instance list.
	listInterval = time.Second
	listTimeout  = 2 * time.Second
	// maxConcurrentReports is the maximum number of reports that are requested at the same time.
	maxConcurrentReports = 32
)

// ReportFetcher requests an endpoint's report of the attempts that it runs.
type ReportFetcher interface {
	Report(ctx context.Context, endpoint modeler.Endpoint) (modeler.EndpointReported, error)
}

// Lister returns the endpoints of the settings with their state in the instance list.
type Lister interface {
	Endpoints(ctx context.Context) ([]modeler.Endpoint, error)
}

// Control is the subset of the control loop that the observer uses.
type Control interface {
	Post(modeler.Event)
	Snapshot() *modeler.Snapshot
}

// Observer polls the engines that this node holds and the instance list.
type Observer struct {
	control  Control
	reporter ReportFetcher
	lister   Lister
	mu       sync.Mutex
	// failures counts the consecutive failed reports of each endpoint.
	failures map[modeler.EndpointID]int
}

// New returns an observer.
func New(control Control, reporter ReportFetcher, lister Lister) *Observer {
	return &Observer{control: control, reporter: reporter, lister: lister, failures: map[modeler.EndpointID]int{}}
}

// Run polls until ctx ends and returns the error of ctx.
func (o *Observer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runEvery(ctx, reportInterval, o.pollReports) })
	group.Go(func() error { return runEvery(ctx, listInterval, o.pollEndpoints) })
	return group.Wait()
}

// runEvery runs work at once and then at every interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, work func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// pollEndpoints reads the instance list and posts the endpoints. If the read fails, the endpoints posted last stay in use.
func (o *Observer) pollEndpoints(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if endpoints, err := o.lister.Endpoints(ctx); err == nil {
		o.control.Post(modeler.EndpointsListed{Endpoints: endpoints})
	}
}

// pollReports requests the reports of all engines that this node holds, in parallel.
func (o *Observer) pollReports(ctx context.Context) {
	snapshot := o.control.Snapshot()
	var group errgroup.Group
	group.SetLimit(maxConcurrentReports)
	for _, e := range snapshot.Endpoints {
		if e.Holder != snapshot.Self.ID || e.Kind != modeler.Engine {
			continue
		}
		group.Go(func() error {
			o.report(ctx, e)
			return nil
		})
	}
	_ = group.Wait()
}

// report requests the report of an engine and posts it. From unreachableAfter consecutive failures on, it posts EndpointUnreachable.
func (o *Observer) report(ctx context.Context, e modeler.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	askedAt := time.Now()
	report, err := o.reporter.Report(ctx, e)
	if err != nil {
		if o.countFailure(e.ID) >= unreachableAfter {
			o.control.Post(modeler.EndpointUnreachable{Endpoint: e.ID})
		}
		return
	}
	o.clearFailures(e.ID)
	report.Endpoint, report.TakenAt = e.ID, askedAt
	o.control.Post(report)
}

// countFailure counts a failed report and returns the number of consecutive failures.
func (o *Observer) countFailure(id modeler.EndpointID) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures[id]++
	return o.failures[id]
}

func (o *Observer) clearFailures(id modeler.EndpointID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.failures, id)
}
