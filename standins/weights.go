package main

import "damaskpick.example/damaskpick/internal/emulation/simulator"

// weightsCommand runs a stand-in of the weight store.
type weightsCommand struct {
	Listen string         `long:"listen" default:"127.0.0.1:0" description:"Address to listen on"`
	Size   map[string]int `long:"size" description:"Model and the size of its weights, as MODEL:BYTES; may be repeated"`
	Rate   float64        `long:"rate" default:"1" description:"Maximum number of fetches per second over all models; 0 for no limit"`
}

// Execute implements flags.Commander.
func (c *weightsCommand) Execute([]string) error {
	handler, stop := simulator.NewWeights(simulator.WeightsOptions{Sizes: c.Size, Rate: c.Rate})
	defer stop()
	return serve(c.Listen, handler)
}
