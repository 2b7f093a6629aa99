package main

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"damaskpick.example/damaskpick/internal/bench/generator"
	"damaskpick.example/damaskpick/internal/bench/launcher"
	"damaskpick.example/damaskpick/internal/bench/requester"
	"damaskpick.example/damaskpick/internal/bench/summarizer"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// run is one measurement on a fresh deployment.
type run struct {
	name, description string
	routing           string
	// shortOnly omits long and huge prompts. The arrival rate of the other prompts stays the same.
	shortOnly bool
	// departure takes a data centre out of service after a third of the run and returns it to service after two thirds.
	departure bool
}

// runs lists all measurements in the order of the table.
var runs = []run{
	{name: "ShortAlone", description: "only short and medium prompts, length aware", routing: loader.RoutingLengthAware, shortOnly: true},
	{name: "RoundRobin", description: "all lengths, round robin", routing: loader.RoutingRoundRobin},
	{name: "LeastLoaded", description: "all lengths, least loaded", routing: loader.RoutingLeastLoaded},
	{name: "LengthAware", description: "all lengths, length aware", routing: loader.RoutingLengthAware},
	{name: "Departure", description: "all lengths, length aware, a data centre leaves and returns", routing: loader.RoutingLengthAware, departure: true},
}

// selectRuns returns the runs with the given names, or all runs without names.
func selectRuns(names []string) []run {
	if len(names) == 0 {
		return runs
	}
	return slices.DeleteFunc(slices.Clone(runs), func(r run) bool { return !slices.Contains(names, r.name) })
}

// requestTimeout bounds one request. A prompt that fills an engine takes up to 40 s to process.
const requestTimeout = 90 * time.Second

// layout returns the deployment of a run.
func (o options) layout(r run) launcher.Layout {
	layout := launcher.DefaultLayout()
	layout.Policy.Preset = loader.PresetSzelfogo
	if o.Deployment == "magnolia" {
		layout.Nodes, layout.Engines = 9, 20
		layout.Policy.Preset = loader.PresetMagnolia
	}
	layout.Policy.Routing = r.routing
	layout.Timeouts.Request = loader.Duration(requestTimeout)
	// The measurement starts with warm engines, except after a departure.
	layout.EngineFlags = []string{"--cold-for", "2s", "--cold-requests", "4"}
	layout.Policy.WarmCompletions = 4
	return layout
}

// plan returns the arrivals of a run.
func (o options) plan(r run, layout launcher.Layout) generator.Plan {
	plan := generator.DefaultPlan()
	plan.Seed, plan.Duration, plan.Rate, plan.Model = o.Seed, loader.Duration(o.Duration), o.Rate, layout.Model
	plan.MaxPrompt = layout.Capacity - 2*plan.MaxOutput
	if r.shortOnly {
		plan.Rate *= 1 - plan.HugePart - plan.LongPart
		plan.HugePart, plan.LongPart = 0, 0
	}
	for _, m := range layout.Members {
		plan.Teams = append(plan.Teams, generator.Team{Name: m.Name, Token: m.Token, Weight: m.Percent})
	}
	return plan
}

// execute starts a deployment, warms up its engines and does the measurement.
func (r run) execute(ctx context.Context, o options) (summarizer.Summary, error) {
	layout := o.layout(r)
	binaries := launcher.Binaries{Node: filepath.Join(o.Bin, "damaskpick"), Standin: filepath.Join(o.Bin, "damaskpick-standin")}
	fleet, cleanup, err := launcher.Start(ctx, layout, binaries, filepath.Join(o.Out, "logs-"+r.name))
	if err != nil {
		return summarizer.Summary{}, err
	}
	defer cleanup()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	options := requester.Options{Plan: o.plan(r, layout), Seeds: fleet.NodeURLs(), Client: client, Timeout: requestTimeout}
	if err := warmUp(ctx, options, layout); err != nil {
		return summarizer.Summary{}, err
	}
	return r.measure(ctx, fleet, options)
}

// warmUpDuration is long enough for every engine to process the short requests after which it counts as warm.
const warmUpDuration = 8 * time.Second

func warmUp(ctx context.Context, options requester.Options, layout launcher.Layout) error {
	plan := options.Plan
	plan.Seed += 1000
	plan.Duration, plan.HugePart, plan.LongPart, plan.MeanOutput = loader.Duration(warmUpDuration), 0, 0, 5
	plan.Rate = 3 * float64(layout.Engines)
	options.Plan = plan
	_, err := requester.Run(ctx, options)
	return err
}

func (r run) measure(ctx context.Context, fleet *launcher.Fleet, options requester.Options) (summarizer.Summary, error) {
	var samples []requester.Sample
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		samples, err = requester.Run(ctx, options)
		return err
	})
	duration := options.Plan.Duration.Std()
	if r.departure {
		group.Go(func() error { return interruptDataCentre(ctx, fleet, duration) })
	}
	err := group.Wait()
	return summarizer.Summarize(r.name, samples, duration), err
}

// interruptDataCentre takes the second data centre out of service after a third of duration and returns it to service after two thirds.
func interruptDataCentre(ctx context.Context, fleet *launcher.Fleet, duration time.Duration) error {
	dataCentre := fleet.Layout.DataCentres[1]
	for _, text := range []string{fleet.Layout.Rules() + outRule(dataCentre), fleet.Layout.Rules()} {
		select {
		case <-time.After(duration / 3):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := fleet.Publish(ctx, text); err != nil {
			return err
		}
	}
	return nil
}

// outRule returns the line of a rule file that takes a data centre out of service.
func outRule(dataCentre modeler.DataCentreID) string {
	return fmt.Sprintf("datacentre %s out # bench\n", dataCentre)
}
