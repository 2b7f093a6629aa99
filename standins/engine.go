package main

import (
	"time"

	"damaskpick.example/damaskpick/internal/emulation/batcher"
	"damaskpick.example/damaskpick/internal/emulation/responder"
)

// engineCommand runs an emulated model engine. Options without a default here fall back to batcher.DefaultParameters when they are zero.
type engineCommand struct {
	Listen         string        `long:"listen" default:"127.0.0.1:0" description:"Address to listen on"`
	Models         []string      `long:"model" required:"true" description:"Model served at boot; may be repeated"`
	Capacity       int           `long:"capacity" description:"KV memory in tokens"`
	CacheTokens    int           `long:"cache" description:"Size of the prefix cache in tokens"`
	MaxBatch       int           `long:"max-batch" description:"Maximum number of sequences in the batch"`
	PrefillRate    float64       `long:"prefill-rate" description:"Prompt tokens processed per second at the start of a prompt"`
	DecodeStep     time.Duration `long:"decode-step" description:"Minimum duration of a step"`
	ColdFor        time.Duration `long:"cold-for" default:"30s" description:"Maximum duration of a cold start; 0 for no limit"`
	ColdRequests   int           `long:"cold-requests" default:"8" description:"Completed requests that end a cold start; 0 for no limit"`
	ColdLimit      int           `long:"cold-limit" default:"2" description:"Maximum number of concurrent requests during a cold start; one more crashes the engine"`
	TimeScale      float64       `long:"time-scale" default:"1" description:"Factor on all durations"`
	FencesOrders   bool          `long:"fences-orders" description:"Refuse fencing tokens lower than one seen before"`
	KeepsAbandoned bool          `long:"keeps-abandoned" description:"Complete the requests of disconnected clients"`
	DownTime       time.Duration `long:"down-time" default:"1s" description:"How long connections are refused after a crash"`
	LoadLag        time.Duration `long:"load-lag" default:"1s" description:"Age of load reports"`
	CacheDelay     time.Duration `long:"cache-delay" default:"500ms" description:"Age of cache events"`
	CacheGap       int64         `long:"cache-gap" default:"50" description:"Omit every cache event whose number is a multiple of this value; 0 omits none"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	engine, stop, err := responder.NewEngine(responder.EngineOptions{
		Address: c.Listen, Models: c.Models, Parameters: c.parameters(), FencesOrders: c.FencesOrders,
		KeepsAbandoned: c.KeepsAbandoned, DownTime: c.DownTime, LoadLag: c.LoadLag, CacheDelay: c.CacheDelay, CacheGap: c.CacheGap,
	})
	if err != nil {
		return err
	}
	defer stop()
	announce(engine.Address())
	waitForSignal()
	return nil
}

func (c *engineCommand) parameters() batcher.Parameters {
	p := batcher.DefaultParameters()
	p.ColdFor, p.ColdRequests, p.ColdLimit, p.TimeScale = c.ColdFor, c.ColdRequests, c.ColdLimit, c.TimeScale
	override(&p.Capacity, c.Capacity)
	override(&p.CacheTokens, c.CacheTokens)
	override(&p.MaxBatch, c.MaxBatch)
	override(&p.PrefillRate, c.PrefillRate)
	override(&p.DecodeStep, c.DecodeStep)
	return p
}

// override sets field to option unless option is the zero value.
func override[T comparable](field *T, option T) {
	var zero T
	if option != zero {
		*field = option
	}
}
