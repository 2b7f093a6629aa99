// Command demo shows the system end to end on one machine: it starts nodes and stand-ins of three data centres on the loopback interface,
// sends requests of all kinds and prints their results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"damaskpick.example/damaskpick/internal/bench/launcher"
)

// maxDuration is the time limit of the whole demo.
const maxDuration = 55 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1) //nolint:gocritic // the deferred clean-up of run has already been done
	}
}

func run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "damaskpick-demo-")
	if err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	layout := launcher.DefaultLayout()
	layout.Nodes, layout.Engines = 6, 6
	layout.EngineFlags = []string{"--cold-for", "2s", "--cold-requests", "2", "--time-scale", "0.2"}
	layout.ExtraRules = "idempotent bookings GET /availability # Anna, the desk repeats availability checks\n"
	layout.Policy.WarmCompletions = 2
	fmt.Printf("Starting %d nodes, %d engines and %d services in %d data centres; logs in %s\n",
		layout.Nodes, layout.Engines, layout.Services, len(layout.DataCentres), folder)
	binaries := launcher.Binaries{Node: filepath.Join("bin", "damaskpick"), Standin: filepath.Join("bin", "damaskpick-standin")}
	fleet, cleanup, err := launcher.Start(ctx, layout, binaries, folder)
	if err != nil {
		return err
	}
	defer cleanup()
	return runSteps(ctx, fleet)
}
