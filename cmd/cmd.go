// Package cmd implements the commands of the damaskpick binary, one file per command.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/findings/collector"
	"damaskpick.example/damaskpick/internal/node/assembler"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

// Exit codes of all commands. docs/operators/exit-codes.md lists them.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 2
	// ExitStopDeadline means that the graceful stop of serve took longer than Timeouts.Stop.
	ExitStopDeadline = 3
	// ExitSecondSignal means that a second signal ended serve before its graceful stop was complete.
	ExitSecondSignal = 4
	// ExitFindings means that a settings or rule file has findings.
	ExitFindings = 5
	// ExitConflict means that another rule file with the same base was published first.
	ExitConflict = 6
	// ExitUnknown means that the outcome of a publication is unknown; repeat the command with the same publish ID.
	ExitUnknown = 7
	// ExitDiffers means that rules diff found a difference.
	ExitDiffers = 8
)

const help = `A serving layer for prompts of very different lengths.

Exit codes: 0 success; 1 failure; 2 wrong usage; 3 serve: the stop took longer than its deadline; 4 serve: ended by a second ` +
	`signal; 5 a settings or rule file has findings; 6 rules publish: another file was published first; 7 rules publish: outcome unknown, ` +
	`repeat with the same publish id; 8 rules diff: the files differ.`

// Environment holds the standard streams and the process functions that commands use. Tests replace them.
type Environment struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Serve runs a node until ctx is cancelled and the node has stopped, and returns the exit code.
	Serve func(ctx context.Context, settings loader.Settings) int
	// Signals returns a channel of the signals that request a stop, and a function that ends the delivery.
	Signals func() (<-chan os.Signal, func())
	// writeError is the first error of stdoutf.
	writeError error
}

// stdoutf writes to Out. Run reports a failed write, so that a script does not use truncated output as a complete result.
func (env *Environment) stdoutf(format string, args ...any) {
	if _, err := fmt.Fprintf(env.Out, format, args...); err != nil && env.writeError == nil {
		env.writeError = fmt.Errorf("write result: %w", err)
	}
}

// stderrf writes to Err. Write errors are ignored, because there is nowhere else to report them.
func (env *Environment) stderrf(format string, args ...any) {
	_, _ = fmt.Fprintf(env.Err, format, args...)
}

// Main runs the command that args name and returns the exit code.
func Main(args []string) int {
	return Run(args, Environment{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Serve: assembler.Run, Signals: stopSignals})
}

// Run runs the command that args name in env and returns the exit code.
func Run(args []string, env Environment) int {
	parser := flags.NewNamedParser("damaskpick", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = help
	for _, add := range commands() {
		if err := add(parser.Command, &env); err != nil {
			env.stderrf("damaskpick: %v\n", err)
			return ExitError
		}
	}
	_, err := parser.ParseArgs(args)
	if err == nil {
		err = env.writeError
	}
	return env.exitCode(err)
}

// adder adds a command to its parent.
type adder func(parent *flags.Command, env *Environment) error

func commands() []adder {
	return []adder{addServe, addFleet, addSettings, addRules, addStatus, addExplain, addReport, addTrace, addAddresses, addVersion}
}

// add adds a command without subcommands. Single newlines in long become spaces, because go-flags wraps the text to the width of
// the terminal.
func add(parent *flags.Command, name, short, long string, data any) error {
	paragraphs := strings.Split(long, "\n\n")
	for i, p := range paragraphs {
		paragraphs[i] = strings.ReplaceAll(p, "\n", " ")
	}
	_, err := parent.AddCommand(name, short, strings.Join(paragraphs, "\n\n"), data)
	return err
}

// exitError ends a command with an exit code. If cause is nil, nothing is printed.
type exitError struct {
	code  int
	cause error
}

// Error implements error.
func (e exitError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.cause.Error()
}

// exitCode prints an error, unless it is nil or has no text, and returns its exit code.
func (env *Environment) exitCode(err error) int {
	var usage *flags.Error
	var exit exitError
	var findings collector.FindingsError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		env.stdoutf("%s\n", usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		env.stderrf("damaskpick: %s\nSee damaskpick --help.\n", usage.Message)
		return ExitUsage
	case errors.As(err, &exit):
		if exit.cause != nil {
			env.stderrf("damaskpick: %v\n", exit.cause)
		}
		return exit.code
	case errors.As(err, &findings):
		env.stderrf("%v\n", findings)
		return ExitFindings
	default:
		env.stderrf("damaskpick: %v\n", err)
		return ExitError
	}
}
