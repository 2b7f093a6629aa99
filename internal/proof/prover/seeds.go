//go:build !race

package prover

const defaultSeeds = 40
