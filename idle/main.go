// Command idle starts deployments of the current sizes as processes on loopback and prints, as Markdown, the resource usage of a node without
// callers, and the processor time of one request and of one streamed token under load. It needs the binaries of "make build".
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"damaskpick.example/damaskpick/internal/bench/generator"
	"damaskpick.example/damaskpick/internal/bench/launcher"
	"damaskpick.example/damaskpick/internal/bench/requester"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

const (
	// runTimeout bounds the whole run.
	runTimeout = 4 * time.Minute
	// settleTime is how long a deployment runs before it is measured, and measureTime how long it is measured without load.
	settleTime  = 5 * time.Second
	measureTime = 20 * time.Second
	// loadTime is the duration of a run under load, and loadRate its requests per second.
	loadTime = 15 * time.Second
	loadRate = 20
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "idle:", err)
		os.Exit(1) //nolint:gocritic // run has already cleaned up
	}
}

func run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "damaskpick-idle-")
	if err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	fmt.Printf("An idle node over %s, mean of all nodes:\n\n", measureTime)
	fmt.Println("| Deployment | CPU, % of a core | Resident, MB | Peers sent, B/s | Peers received, B/s | Log, B/s | Instance list, B/s | Peer connections opened/s |")
	fmt.Println("|---|--:|--:|--:|--:|--:|--:|--:|")
	for i, size := range []struct {
		name           string
		nodes, engines int
	}{{"Szélfogó: 8 nodes, 16 engines, 3 services", 8, 16}, {"Magnolia: 9 nodes, 20 engines, 3 services", 9, 20}} {
		layout := newLayout(size.nodes, size.engines)
		if err := printIdleUsage(ctx, size.name, layout, filepath.Join(folder, fmt.Sprint(i))); err != nil {
			return fmt.Errorf("%s: %w", size.name, err)
		}
	}
	return measureLoad(ctx, filepath.Join(folder, "load"))
}

// newLayout returns a deployment with ten members, and engines that become warm after one request.
func newLayout(nodes, engines int) launcher.Layout {
	l := launcher.DefaultLayout()
	l.Nodes, l.Engines = nodes, engines
	l.EngineFlags = []string{"--cold-for", "1s", "--cold-requests", "1"}
	l.Policy.WarmCompletions = 1
	l.Members = nil
	for i := range 10 {
		name := fmt.Sprintf("team-%d", i)
		l.Members = append(l.Members, launcher.Member{Name: name, Token: "token-" + name, Percent: 10})
	}
	return l
}

func binaries() launcher.Binaries {
	return launcher.Binaries{Node: filepath.Join("bin", "damaskpick"), Standin: filepath.Join("bin", "damaskpick-standin")}
}

// printIdleUsage starts a deployment and prints its table row.
func printIdleUsage(ctx context.Context, name string, layout launcher.Layout, folder string) error {
	fleet, cleanup, err := launcher.Start(ctx, layout, binaries(), folder)
	if err != nil {
		return err
	}
	defer cleanup()
	u, err := idleUsage(ctx, fleet)
	if err != nil {
		return err
	}
	perSecond := func(v float64) float64 { return v / measureTime.Seconds() }
	fmt.Printf("| %s | %.3f | %.1f | %.0f | %.0f | %.0f | %.0f | %.2f |\n", name, perSecond(u.cpu)*100, u.resident/1e6,
		perSecond(u.bytes["peer-client/sent"]+u.bytes["peer-server/sent"]), perSecond(u.bytes["peer-client/received"]+u.bytes["peer-server/received"]),
		perSecond(u.bytes["log/sent"]+u.bytes["log/received"]), perSecond(u.bytes["instances/sent"]+u.bytes["instances/received"]), perSecond(u.opened))
	return nil
}

// idleUsage waits for settleTime and returns the mean usage of a node over measureTime.
func idleUsage(ctx context.Context, fleet *launcher.Fleet) (usage, error) {
	if err := sleep(ctx, settleTime); err != nil {
		return usage{}, err
	}
	before, err := readUsage(ctx, fleet)
	if err != nil {
		return usage{}, err
	}
	if err := sleep(ctx, measureTime); err != nil {
		return usage{}, err
	}
	after, err := readUsage(ctx, fleet)
	return after.since(before), err
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// measureLoad does a run with short and a run with long answers, and solves the two processor times for the cost of a request and of a token.
func measureLoad(ctx context.Context, folder string) error {
	layout := newLayout(8, 16)
	fleet, cleanup, err := launcher.Start(ctx, layout, binaries(), folder)
	if err != nil {
		return err
	}
	defer cleanup()
	idle, err := idleUsage(ctx, fleet)
	if err != nil {
		return err
	}
	if _, err := runLoad(ctx, fleet, 8); err != nil {
		return err
	}
	var runs [2]loadResult
	for i, tokens := range []float64{10, 200} {
		if runs[i], err = runLoad(ctx, fleet, tokens); err != nil {
			return err
		}
		runs[i].cpu -= idle.cpu / measureTime.Seconds() * runs[i].seconds * float64(len(fleet.Nodes))
		fmt.Printf("\n%.0f requests in %.1f s, %.0f completed, %.0f tokens: %.2f s of processor time on %d nodes beyond idle, %.0f B/s of peers per node\n",
			runs[i].requests, runs[i].seconds, runs[i].completed, runs[i].tokens, runs[i].cpu, len(fleet.Nodes), runs[i].peerBytes)
	}
	a, b := runs[0], runs[1]
	tokenCPU := (b.cpu*a.requests - a.cpu*b.requests) / (b.tokens*a.requests - a.tokens*b.requests)
	fmt.Printf("\nTraffic path and control together: %.2f ms per request and %.1f us per streamed token.\n", (a.cpu-tokenCPU*a.tokens)/a.requests*1e3, tokenCPU*1e6)
	return nil
}

// loadResult holds the counts and costs of a run under load. cpu is in seconds, summed over all nodes. peerBytes is in bytes per second of a
// mean node, sent plus received.
type loadResult struct{ requests, completed, tokens, seconds, cpu, peerBytes float64 }

// runLoad sends requests with short prompts for loadTime. Answers have meanTokens tokens on average.
func runLoad(ctx context.Context, fleet *launcher.Fleet, meanTokens float64) (loadResult, error) {
	plan := generator.DefaultPlan()
	plan.Duration, plan.Rate, plan.MeanOutput, plan.Model = loader.Duration(loadTime), loadRate, meanTokens, fleet.Layout.Model
	plan.HugePart, plan.LongPart, plan.MaxPrompt = 0, 0, 4_000
	for _, m := range fleet.Layout.Members {
		plan.Teams = append(plan.Teams, generator.Team{Name: m.Name, Token: m.Token, Weight: 1})
	}
	seeds := make([]string, 0, len(fleet.Nodes))
	for _, n := range fleet.Nodes {
		seeds = append(seeds, n.URL())
	}
	before, err := readUsage(ctx, fleet)
	if err != nil {
		return loadResult{}, err
	}
	start := time.Now()
	samples, err := requester.Run(ctx, requester.Options{Plan: plan, Seeds: seeds, Client: newClient(), Timeout: time.Minute})
	if err != nil {
		return loadResult{}, fmt.Errorf("run load: %w", err)
	}
	result := loadResult{requests: float64(len(samples)), seconds: time.Since(start).Seconds()}
	after, err := readUsage(ctx, fleet)
	if err != nil {
		return loadResult{}, err
	}
	used := after.since(before)
	result.cpu = used.cpu * float64(len(fleet.Nodes))
	result.peerBytes = (used.bytes["peer-client/sent"] + used.bytes["peer-server/sent"] + used.bytes["peer-client/received"] + used.bytes["peer-server/received"]) / result.seconds
	for _, s := range samples {
		result.tokens += float64(s.Tokens)
		if s.Outcome == requester.Completed {
			result.completed++
		}
	}
	return result, nil
}
