package main

import (
	"time"

	"damaskpick.example/damaskpick/internal/emulation/simulator"
)

// instancesCommand runs a stand-in of the instance list, which is empty until POST /instances sets it.
type instancesCommand struct {
	Listen string        `long:"listen" default:"127.0.0.1:0" description:"Address to listen on"`
	Lag    time.Duration `long:"lag" default:"500ms" description:"Time until a change becomes visible"`
}

// Execute implements flags.Commander.
func (c *instancesCommand) Execute([]string) error {
	handler, stop := simulator.NewInstances(simulator.InstancesOptions{Lag: c.Lag})
	defer stop()
	return serve(c.Listen, handler)
}
