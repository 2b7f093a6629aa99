// Command damaskpick-standin runs a stand-in of an endpoint or of a platform service, for tests and demonstrations.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// commands lists the subcommands. Each is implemented in a file of its own.
var commands = []struct {
	name, short string
	command     flags.Commander
}{
	{"engine", "Run a model engine", &engineCommand{}},
	{"service", "Run a plain service", &serviceCommand{}},
	{"log", "Run a log service", &logCommand{}},
	{"instances", "Run an instance list", &instancesCommand{}},
	{"weights", "Run a weight store", &weightsCommand{}},
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	parser := flags.NewNamedParser("damaskpick-standin", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, "", c.command); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
	}
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Println(flagErr.Message)
		return 0
	case errors.As(err, &flagErr):
		fmt.Fprintln(os.Stderr, flagErr.Message)
		return 2
	default:
		fmt.Fprintln(os.Stderr, "damaskpick-standin:", err)
		return 1
	}
}
