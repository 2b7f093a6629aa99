package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// longest is the time after which a case ends its processes whatever it does.
const longest = 110 * time.Second

func main() { os.Exit(run(os.Args[1:])) }

// run runs a case, or one of its engines, and returns the exit code.
func run(args []string) int {
	if len(args) == 3 && args[0] == "engine" {
		fmt.Fprintln(os.Stderr, runEngine(args[1], args[2] == "unframed"))
		return exitNotRun
	}
	cases := map[string]func(*rig) (int, error){"again": again, "resumed": resumed, "deadly": deadly}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE RECORD")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	r, err := newRig(ctx, args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	code, err := cases[args[0]](r)
	if err != nil {
		r.log("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	r.log("exit code %d", code)
	return code
}
