package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/fleet/assembler"
	"damaskpick.example/damaskpick/internal/fleet/loader"
)

const fleetHelp = `Run a node on the users' platform. Unlike a node of 'damaskpick serve', it reads its routes, services and endpoints from the
platform's metadata store. The first SIGTERM or SIGINT starts a graceful stop, which waits for running requests; SIGHUP checks the
settings again and reports findings.

Exit codes: 0 after a stop; 1 when the node cannot start or fails; 5 when the settings have findings.`

type fleetCommand struct {
	Settings flags.Filename `long:"settings" short:"s" required:"true" value-name:"FILE" description:"Settings in JSON with comments"`
	Check    bool           `long:"check" description:"Check the settings and exit"`
	env      *Environment
}

func addFleet(parent *flags.Command, env *Environment) error {
	return add(parent, "fleet", "Run a node on the users' platform", fleetHelp, &fleetCommand{env: env})
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	// SIGHUP ends a process that does not handle it, so it is handled from the start, and until the process has exited.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	settings, err := loader.Load(string(c.Settings))
	if err != nil {
		return err
	}
	if c.Check {
		c.env.stdoutf("%s: no findings\n", c.Settings)
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return assembler.Run(ctx, settings, assembler.Process{
		Out:             c.env.Out,
		SettingsChanged: hangup,
		Check: func() error {
			_, err := loader.Load(string(c.Settings))
			return err
		},
	})
}
