package main

import (
	"time"

	"damaskpick.example/damaskpick/internal/emulation/simulator"
)

// logCommand runs a stand-in of the append-only log.
type logCommand struct {
	Listen     string        `long:"listen" default:"127.0.0.1:0" description:"Address to listen on"`
	Retention  time.Duration `long:"retention" description:"How long a record is kept; 0 for no limit"`
	AppendRate float64       `long:"append-rate" default:"300" description:"Maximum number of appends per second over all streams; 0 for no limit"`
}

// Execute implements flags.Commander.
func (c *logCommand) Execute([]string) error {
	handler, stop := simulator.NewLog(simulator.LogOptions{Retention: c.Retention, AppendRate: c.AppendRate})
	defer stop()
	return serve(c.Listen, handler)
}
