// Command bench compares routing policies on the same arrivals: round robin, least loaded and length aware, and measures service
// while a data centre leaves and returns.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/bench/summarizer"
)

// options are the command line flags.
type options struct {
	Deployment string        `long:"deployment" choice:"szelfogo" choice:"magnolia" default:"szelfogo" description:"deployment whose sizes and policy preset are used"`
	Duration   time.Duration `long:"duration" default:"40s" description:"duration of each run"`
	Rate       float64       `long:"rate" default:"14" description:"arrivals per second"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	Run        []string      `long:"run" description:"name of a run to execute; may be repeated; the default is all"`
	Out        string        `long:"out" default:"out" description:"folder for results and logs"`
	Bin        string        `long:"bin" default:"bin" description:"folder with the built binaries"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := runAll(ctx, o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// runAll does the selected runs one after another, so that they do not compete for the machine, and writes the results.
func runAll(ctx context.Context, o options) error {
	var summaries []summarizer.Summary
	for _, r := range selectRuns(o.Run) {
		fmt.Printf("run %s: %s\n", r.name, r.description)
		summary, err := r.execute(ctx, o)
		if err != nil {
			return fmt.Errorf("run %s: %w", r.name, err)
		}
		summaries = append(summaries, summary)
	}
	if err := summarizer.WriteTable(os.Stdout, summaries); err != nil {
		return err
	}
	for _, line := range summarizer.Verdicts(summaries) {
		fmt.Println(line)
	}
	return writeResults(o, summaries)
}

// writeResults writes the summaries as JSON and as an SVG plot.
func writeResults(o options, summaries []summarizer.Summary) error {
	data, err := json.MarshalIndent(summaries, "", "  ")
	if err != nil {
		return fmt.Errorf("encode summaries: %w", err)
	}
	base := filepath.Join(o.Out, "bench-"+o.Deployment)
	if err := os.WriteFile(base+".json", data, 0o600); err != nil {
		return fmt.Errorf("write summaries: %w", err)
	}
	return summarizer.WritePlots(base+".svg", summaries)
}
