//go:build race

package verifier

import "flag"

// planSeeds and the number of rapid checks are smaller under the race detector. `make prove` runs the full numbers without it.
const planSeeds = 8

func init() {
	if err := flag.Set("rapid.checks", "15"); err != nil {
		panic(err)
	}
}
