//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases holds the cases by name.
var cases = map[string]func(*rig) (int, error){
	"cold":    cold,
	"leaving": leaving,
	"gone":    gone,
	"odd":     odd,
	"late":    late,
	"encoded": encoded,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays a case, given its name and the folder of its record.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		return failed
	}
	r, err := newRig(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		r.close()
		os.Exit(failed)
	}()
	code, err := cases[args[0]](r)
	if err != nil {
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	return code
}
