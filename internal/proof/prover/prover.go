// Package prover runs proofs: it simulates each guarantee under many seeds, with a naive version and with the product, and prints one
// line for each guarantee. Only tests import it.
package prover

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// Flags of the proofs. `make prove` sets them; the defaults are a short run for `make test`.
var (
	seedCount  = flag.Int("proof.seeds", defaultSeeds, "number of seeds of each proof")
	replaySeed = flag.Int64("proof.seed", -1, "run only this seed, if it is not negative")
	budget     = flag.Duration("proof.budget", 0, "run new seeds for this time, split evenly between the proofs of a package; 0 runs a fixed number of seeds")
	strict     = flag.Bool("proof.strict", false, "also fail on violations that are listed as known")
)

const (
	// maxConcurrentRuns is low because other work shares the machine.
	maxConcurrentRuns = 4
	// maxTraces is the number of failing seeds of a proof whose trace is printed.
	maxTraces = 3
	// knownFailuresFile lists violations that wait for a change of the product. The path holds for packages with proofs, which are
	// three folders below it.
	knownFailuresFile = "../../../KNOWN-RED.txt"
)

// Verdict is the result of one run of a proof.
type Verdict struct {
	// Violations is empty if the run held the guarantee.
	Violations []string
	// Trace holds the last events of the run.
	Trace []string
}

// Proof checks one guarantee of the design page, section 2.
type Proof struct {
	Guarantee string
	// Run simulates one seed with the naive version or the product. Its result must depend only on the arguments. Several calls
	// run concurrently.
	Run func(seed uint64, naive bool) Verdict
}

// Prove runs the proofs in order and prints one line for each. A proof fails if the product violates its guarantee under a seed that
// is not listed as known, or if the naive version violates it under no seed.
func Prove(t *testing.T, proofs []Proof) {
	t.Helper()
	var lines []string
	known := readKnownFailures(t)
	for _, p := range proofs {
		t.Run(p.Guarantee, func(t *testing.T) { lines = append(lines, p.prove(t, known, *budget/time.Duration(len(proofs)))) })
	}
	fmt.Println(strings.Join(lines, "\n"))
}

// tally counts the results of one proof: all seeds, and those under which the naive version or the product violates the guarantee.
type tally struct {
	mu                    sync.Mutex
	seeds, naive, product int
}

func (p Proof) prove(t *testing.T, known []string, span time.Duration) string {
	var results tally
	var group errgroup.Group
	group.SetLimit(maxConcurrentRuns)
	for seed := range seeds(span) {
		group.Go(func() error {
			naive, product := p.Run(seed, true), p.Run(seed, false)
			results.mu.Lock()
			defer results.mu.Unlock()
			p.addResult(t, &results, seed, naive, product, known)
			return nil
		})
	}
	_ = group.Wait()
	if results.naive == 0 && *replaySeed < 0 {
		t.Errorf("the naive version never violated %s, so the proof proves nothing", p.Guarantee)
	}
	return fmt.Sprintf("Guarantee=%s Seeds=%d Naive=%d Damaskpick=%d", p.Guarantee, results.seeds, results.naive, results.product)
}

func (p Proof) addResult(t *testing.T, results *tally, seed uint64, naive, product Verdict, known []string) {
	results.seeds++
	if len(naive.Violations) > 0 {
		results.naive++
	}
	if len(product.Violations) == 0 {
		return
	}
	results.product++
	text := fmt.Sprintf("Guarantee=%s Seed=%d Violations=%d: %s", p.Guarantee, seed, len(product.Violations), product.Violations[0])
	isKnown := slices.Contains(known, fmt.Sprintf("Guarantee=%s Seed=%d", p.Guarantee, seed)) ||
		slices.Contains(known, fmt.Sprintf("Guarantee=%s Seed=any", p.Guarantee))
	if results.product <= maxTraces {
		text += "\n" + strings.Join(product.Trace, "\n")
	}
	if isKnown && !*strict {
		t.Logf("known red: %s", text)
		return
	}
	t.Error(text)
}

// readKnownFailures returns "Guarantee=... Seed=..." of each entry in the list of known violations. A missing file is an empty list.
func readKnownFailures(t *testing.T) []string {
	text, err := os.ReadFile(knownFailuresFile)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	var known []string
	for line := range strings.Lines(string(text)) {
		if words := strings.Fields(line); len(words) > 1 && strings.HasPrefix(words[0], "Guarantee=") {
			known = append(known, words[0]+" "+strings.TrimSuffix(words[1], ":"))
		}
	}
	return known
}

// seeds yields the seed to replay if there is one. Otherwise it yields new seeds until span has passed or, if span is 0, a fixed number
// of seeds from 0 on.
func seeds(span time.Duration) func(func(uint64) bool) {
	started := time.Now()
	return func(yield func(uint64) bool) {
		if *replaySeed >= 0 {
			yield(uint64(*replaySeed))
			return
		}
		first := uint64(0)
		if span > 0 {
			first = uint64(started.Unix()) * 1_000_000
		}
		for i := range uint64(1 << 40) {
			if span == 0 && i >= uint64(*seedCount) || span > 0 && time.Since(started) > span || !yield(first+i) {
				return
			}
		}
	}
}
