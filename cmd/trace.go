package cmd

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/telemetry/tracer"
)

const traceHelp = `Print the lines of the log about one request, in the order of their times: its own ones, those about the endpoints that it
used, and those that changed what nodes believed meanwhile. The logs of all nodes are read from standard input.

Exit codes: 0 success; 1 when no line is about the request or the log cannot be read; 2 wrong usage.`

type traceCommand struct {
	Arguments struct {
		Request string `positional-arg-name:"REQUEST" description:"Id of the request"`
	} `positional-args:"yes" required:"yes"`
	env *Environment
}

func addTrace(parent *flags.Command, env *Environment) error {
	return add(parent, "trace", "Print what the log says about one request", traceHelp, &traceCommand{env: env})
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	own, err := tracer.Trace(c.env.Out, c.env.In, c.Arguments.Request)
	if err != nil {
		return err
	}
	if own == 0 {
		return fmt.Errorf("no line is about request %q", c.Arguments.Request)
	}
	return nil
}
