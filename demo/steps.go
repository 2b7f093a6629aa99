package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"

	"damaskpick.example/damaskpick/internal/bench/generator"
	"damaskpick.example/damaskpick/internal/bench/launcher"
	"damaskpick.example/damaskpick/internal/bench/requester"
	"damaskpick.example/damaskpick/internal/bench/summarizer"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// steps lists the steps of the demo in execution order. Each returns a text that describes its result.
var steps = []struct {
	name string
	run  func(ctx context.Context, fleet *launcher.Fleet) (string, error)
}{
	{"addresses a caller gets", addresses},
	{"short prompt", prompt(1_000)},
	{"very long prompt", prompt(250_000)},
	{"prompt too long for every engine", prompt(1_000_000)},
	{"availability check", availability},
	{"booking, sent twice", booking},
	{"ten seconds of mixed load", load},
	{"planned stop of a node", plannedStop},
}

// runSteps runs the steps and prints their results. It stops at the first error.
func runSteps(ctx context.Context, fleet *launcher.Fleet) error {
	for _, step := range steps {
		started := time.Now()
		result, err := step.run(ctx, fleet)
		if err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		fmt.Printf("\n%s (%s)\n  %s\n", step.name, time.Since(started).Round(time.Millisecond), strings.ReplaceAll(result, "\n", "\n  "))
	}
	return nil
}

// call sends a request as the first member to the first node and returns the status, the header and the body of the response. An empty key
// sends no Idempotency-Key.
func call(ctx context.Context, fleet *launcher.Fleet, method, path, key string, body string) (int, http.Header, string, error) {
	node := fleet.Nodes[0]
	request, err := http.NewRequestWithContext(ctx, method, node.URL()+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.Layout.Members[0].Token)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, strings.TrimSpace(string(content)), err
}

func addresses(ctx context.Context, fleet *launcher.Fleet) (string, error) {
	_, _, body, err := call(ctx, fleet, http.MethodGet, "/v1/addresses?DataCentre=bud-b", "", "")
	return body, err
}

// prompt returns a step that sends one prompt of the given length and streams the output.
func prompt(tokens modeler.Tokens) func(context.Context, *launcher.Fleet) (string, error) {
	return func(ctx context.Context, fleet *launcher.Fleet) (string, error) {
		text := generator.Text(generator.Arrival{Prompt: tokens, Prefix: -1})
		started := time.Now()
		status, _, body, err := call(ctx, fleet, http.MethodPost, "/v1/completions", "",
			fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":20,"stream":true}`, fleet.Layout.Model, text))
		if err != nil || status != http.StatusOK {
			return fmt.Sprintf("status %d: %s", status, body), err
		}
		return fmt.Sprintf("%d tokens in, %d events out in %s, end mark %t", tokens, strings.Count(body, "data: "),
			time.Since(started).Round(time.Millisecond), strings.HasSuffix(body, "[DONE]")), nil
	}
}

func availability(ctx context.Context, fleet *launcher.Fleet) (string, error) {
	status, _, body, err := call(ctx, fleet, http.MethodGet, "/services/bookings/availability?kit=17", "", "")
	return fmt.Sprintf("status %d: %s", status, body), err
}

// booking sends the same call twice with one idempotency key and returns both responses and how often the services ran the call.
func booking(ctx context.Context, fleet *launcher.Fleet) (string, error) {
	key := uuid.Must(uuid.NewV7()).String()
	var lines []string
	for range 2 {
		status, header, body, err := call(ctx, fleet, http.MethodPost, "/services/bookings/bookings", key, `{"Kit":17}`)
		if err != nil {
			return "", err
		}
		lines = append(lines, fmt.Sprintf("status %d, replayed %q: %s", status, header.Get("Idempotent-Replayed"), body))
	}
	for _, s := range fleet.Services {
		runs, err := get(ctx, s.URL()+"/runs")
		if err != nil {
			return "", err
		}
		lines = append(lines, s.Name+" ran "+runs)
	}
	return strings.Join(lines, "\n"), nil
}

func get(ctx context.Context, url string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return strings.TrimSpace(string(body)), err
}

// load generates a mixed load and returns its summary as a table.
func load(ctx context.Context, fleet *launcher.Fleet) (string, error) {
	plan := generator.DefaultPlan()
	plan.Duration, plan.Rate, plan.Model = loader.Duration(10*time.Second), 15, fleet.Layout.Model
	plan.MaxPrompt = fleet.Layout.Capacity / 2
	for _, m := range fleet.Layout.Members {
		plan.Teams = append(plan.Teams, generator.Team{Name: m.Name, Token: m.Token, Weight: m.Percent})
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	samples, err := requester.Run(ctx, requester.Options{Plan: plan, Seeds: fleet.NodeURLs(), Client: client, Timeout: 20 * time.Second})
	if err != nil {
		return "", err
	}
	var table strings.Builder
	err = summarizer.WriteTable(&table, []summarizer.Summary{summarizer.Summarize("demo", samples, plan.Duration.Std())})
	return strings.TrimSpace(table.String()), err
}

// plannedStop stops the last node gracefully with SIGTERM and returns its exit code.
func plannedStop(_ context.Context, fleet *launcher.Fleet) (string, error) {
	n := fleet.Nodes[len(fleet.Nodes)-1]
	n.Signal(syscall.SIGTERM)
	code := n.Wait(20 * time.Second)
	return fmt.Sprintf("%s ended with exit code %d", n.Name, code), nil
}
