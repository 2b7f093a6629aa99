//go:build race

package prover

// defaultSeeds is smaller under the race detector, which makes a run about ten times slower.
const defaultSeeds = 4
