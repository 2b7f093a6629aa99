package loader

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Names of the presets of Policy.
const (
	PresetDefault  = ""
	PresetSzelfogo = "Szelfogo"
	PresetMagnolia = "Magnolia"
)

// Routing policies of Policy.
const (
	RoutingLengthAware = "LengthAware"
	RoutingLeastLoaded = "LeastLoaded"
	RoutingRoundRobin  = "RoundRobin"
)

// presets holds the weights for each deployment.
var presets = []struct {
	name    string
	weights modeler.Weights
}{
	{PresetDefault, modeler.Weights{
		LongPart: 0.5, PrefillRate: 8_000, FirstTokenTimeout: 5 * time.Second, PrefixBonus: 0.5,
		WarmCompletions: 8, MaxRunning: 64, RetryPart: 0.1,
	}},
	// When a data centre leaves, all of its work moves at once; when it returns, its endpoints are cold and their prefix caches
	// empty. The preset therefore waits longer for a first token before it refuses, treats endpoints as cold for longer, allows
	// more retries and gives cached prefixes less weight.
	{PresetSzelfogo, modeler.Weights{
		LongPart: 0.6, PrefillRate: 8_000, FirstTokenTimeout: 8 * time.Second, PrefixBonus: 0.3,
		WarmCompletions: 16, MaxRunning: 64, RetryPart: 0.2,
	}},
	// Short requests slow down when long prompts share their engine. The preset therefore limits long prompts to a smaller
	// fraction of each engine, runs fewer requests per engine and refuses early when a first token would be late.
	{PresetMagnolia, modeler.Weights{
		LongPart: 0.35, PrefillRate: 8_000, FirstTokenTimeout: 3 * time.Second, PrefixBonus: 0.6,
		WarmCompletions: 8, MaxRunning: 32, RetryPart: 0.1,
	}},
}

func presetOf(name string) (modeler.Weights, bool) {
	for _, p := range presets {
		if p.name == name {
			return p.weights, true
		}
	}
	return modeler.Weights{}, false
}

// Weights returns the weights of the preset, overridden by the fields of Policy that are not zero.
func (s Settings) Weights() modeler.Weights {
	w, _ := presetOf(s.Policy.Preset)
	p := s.Policy
	w.LongPart = orDefault(p.LongPart, w.LongPart)
	w.PrefillRate = orDefault(p.PrefillRate, w.PrefillRate)
	w.FirstTokenTimeout = orDefault(p.FirstTokenTimeout.Std(), w.FirstTokenTimeout)
	w.PrefixBonus = orDefault(p.PrefixBonus, w.PrefixBonus)
	w.WarmCompletions = orDefault(p.WarmCompletions, w.WarmCompletions)
	w.MaxRunning = orDefault(p.MaxRunning, w.MaxRunning)
	w.RetryPart = orDefault(p.RetryPart, w.RetryPart)
	return w
}
