// Command damaskpick-load generates the load of a plan against nodes and reports the results as seen by the callers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/bench/generator"
	"damaskpick.example/damaskpick/internal/bench/requester"
	"damaskpick.example/damaskpick/internal/bench/summarizer"
)

// options holds the command-line flags.
type options struct {
	Plan    string        `long:"plan" required:"true" description:"plan file, JSON with comments"`
	Node    []string      `long:"node" required:"true" description:"URL of a node to ask for addresses; repeatable"`
	Name    string        `long:"name" default:"run" description:"name of the run in tables and files"`
	Out     string        `long:"out" default:"out" description:"folder for the summary and the plot"`
	Timeout time.Duration `long:"timeout" default:"120s" description:"maximum duration of one request"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "damaskpick-load:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	plan, err := generator.LoadPlan(o.Plan)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	samples, err := requester.Run(ctx, requester.Options{Plan: plan, Seeds: o.Node, Client: client, Timeout: o.Timeout})
	if err != nil {
		return fmt.Errorf("run plan: %w", err)
	}
	summary := summarizer.Summarize(o.Name, samples, plan.Duration.Std())
	return write(o, summary)
}

// write stores the summary as JSON and as an SVG plot in the output folder and prints it as a table.
func write(o options, summary summarizer.Summary) error {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	data, err := json.MarshalIndent(summary, "", "  ")
	if err != nil {
		return fmt.Errorf("encode summary: %w", err)
	}
	base := filepath.Join(o.Out, o.Name)
	if err := os.WriteFile(base+".json", data, 0o600); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	runs := []summarizer.Summary{summary}
	if err := summarizer.WritePlots(base+".svg", runs); err != nil {
		return err
	}
	return summarizer.WriteTable(os.Stdout, runs)
}
