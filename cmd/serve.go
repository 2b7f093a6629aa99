package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/settings/loader"
)

const serveHelp = `Run a node. The first SIGTERM or SIGINT starts a graceful stop, which waits for running requests; a second one
ends the process at once.

Exit codes: 0 after a graceful stop; 1 when the node cannot start or fails; 3 when the stop took longer than Timeouts.Stop; 4
after a second signal; 5 when the settings have findings.`

type serveCommand struct {
	Settings flags.Filename `long:"settings" short:"s" required:"true" value-name:"FILE" description:"Settings in JSON with comments"`
	env      *Environment
}

func addServe(parent *flags.Command, env *Environment) error {
	return add(parent, "serve", "Run a node", serveHelp, &serveCommand{env: env})
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	settings, err := loader.Load(string(c.Settings))
	if err != nil {
		return err
	}
	if c.env.Serve == nil {
		return errors.New("this environment runs no node")
	}
	signals, cleanup := c.env.Signals()
	defer cleanup()
	if code := serveUntilSignal(settings, c.env.Serve, signals); code != ExitOK {
		return exitError{code: code}
	}
	return nil
}

// serveUntilSignal runs a node and returns its exit code. The first signal cancels the context of the node; the second returns
// ExitSecondSignal without waiting for the node.
func serveUntilSignal(settings loader.Settings, serve func(context.Context, loader.Settings) int, signals <-chan os.Signal) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan int, 1)
	go func() { ended <- serve(ctx, settings) }()
	for received := 0; ; {
		select {
		case code := <-ended:
			return code
		case <-signals:
			if received++; received > 1 {
				return ExitSecondSignal
			}
			cancel()
		}
	}
}

// stopSignals implements Environment.Signals.
func stopSignals() (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals, func() { signal.Stop(signals) }
}

// rejectArguments returns a usage error if a command without positional arguments was given any.
func rejectArguments(args []string) error {
	if len(args) == 0 {
		return nil
	}
	return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", args[0])}
}
