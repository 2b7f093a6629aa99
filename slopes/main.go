// Command slopes reads the output of "go test -bench", fits a line to each series of sizes and prints one Markdown table. With --budget it
// also evaluates the lines for the target and the current deployments, and prints the cost of each role on a node.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Budget bool `long:"budget" description:"Print the budget tables after the slopes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(os.Stdin, os.Stdout, o); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer, o options) error {
	results, err := readResults(in)
	if err != nil {
		return err
	}
	lines := fitAll(results)
	if len(lines) == 0 {
		return fmt.Errorf("the input has no series of at least three sizes")
	}
	if err := writeLines(out, lines); err != nil {
		return err
	}
	if !o.Budget {
		return nil
	}
	return writeBudget(out, lines)
}
