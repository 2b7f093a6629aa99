// Package main holds the cases of the second review that are scripts: each starts a small deployment of real nodes with stand-ins for the platform, engines
// and clients, and checks one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
)

// timeless is the context of requests whose client has a timeout of its own.
var timeless = context.Background()

var cases = map[string]func(trouble bool) int{
	"bodies":  bodiesCase,
	"headers": headersCase,
	"leak":    leakFinding,
	"release": releaseCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(impossible)
	}
	var err error
	if record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(impossible)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, trouble %v", os.Args[1], trouble)
	code := cases[os.Args[1]](trouble)
	note("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", impossible: "the case could not run"}[code])
	exit(code)
}
