// Package generator generates the arrivals of a load run: the time, the team and the prompt length of each request.
package generator

import (
	"fmt"
	"os"

	"github.com/tailscale/hujson"

	"encoding/json"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// Plan describes a load run. Equal plans produce equal arrivals.
type Plan struct {
	Seed     uint64
	Duration loader.Duration
	// Rate is the mean number of arrivals per second. Arrivals are a Poisson process that does not wait for responses.
	Rate float64
	// HugePart is the fraction of prompts over 100 k tokens, from 0 to 1.
	HugePart float64
	// LongPart is the fraction of prompts between 32 k and 100 k tokens, from 0 to 1.
	LongPart float64
	// MaxPrompt is the maximum length of a prompt.
	MaxPrompt modeler.Tokens
	// MeanOutput is the mean number of generated tokens, which is exponentially distributed.
	MeanOutput float64
	// MaxOutput is the maximum number of generated tokens.
	MaxOutput modeler.Tokens
	// SharedPart is the fraction of prompts that start with one of the shared prefixes, from 0 to 1.
	SharedPart float64
	// Prefixes is the number of shared prefixes.
	Prefixes int
	// Teams send the requests; each request is assigned at random by weight.
	Teams []Team
	Model string
}

// Team is a member as seen by the load tool. It sends a share of the requests with its credential, Token. Weight is relative to the sum of
// the weights of all teams.
type Team struct {
	Name   string
	Token  string
	Weight float64
}

// DefaultPlan returns a plan with the target mix of prompt lengths: 1 k to 1 M tokens, with 1 in 50 over 100 k.
func DefaultPlan() Plan {
	return Plan{
		Seed: 1, Duration: loader.Duration(30e9), Rate: 20, HugePart: 0.02, LongPart: 0.06, MaxPrompt: 1_000_000,
		MeanOutput: 60, MaxOutput: 400, SharedPart: 0.3, Prefixes: 20, Model: "model-a",
	}
}

// LoadPlan reads a plan from a file of JSON with comments. Missing fields have the values of DefaultPlan.
func LoadPlan(path string) (Plan, error) {
	plan := DefaultPlan()
	data, err := os.ReadFile(path)
	if err != nil {
		return plan, fmt.Errorf("read plan: %w", err)
	}
	data, err = hujson.Standardize(data)
	if err != nil {
		return plan, fmt.Errorf("parse plan %s: %w", path, err)
	}
	if err := json.Unmarshal(data, &plan); err != nil {
		return plan, fmt.Errorf("decode plan %s: %w", path, err)
	}
	return plan, nil
}
