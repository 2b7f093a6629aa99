package cmd

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/telemetry/tracer"
)

const traceHelp = `Print the log lines that are relevant to one request, in order of time: the lines of the request itself, those about the endpoints
that it used, and those that meanwhile changed the view that nodes have of all endpoints. The logs of all nodes are read from
standard input.

Exit codes: 0 success; 1 when the log has no line about the request or cannot be read; 2 wrong usage.`

type traceCommand struct {
	Arguments struct {
		Request string `positional-arg-name:"REQUEST" description:"Id of the request"`
	} `positional-args:"yes" required:"yes"`
	env *Environment
}

func addTrace(parent *flags.Command, env *Environment) error {
	return add(parent, "trace", "Print the log lines about one request", traceHelp, &traceCommand{env: env})
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	lines, err := tracer.Trace(c.env.Out, c.env.In, c.Arguments.Request)
	if err != nil {
		return err
	}
	if lines == 0 {
		return fmt.Errorf("no log line about request %q", c.Arguments.Request)
	}
	return nil
}
