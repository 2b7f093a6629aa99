//go:build race

package loadtester

// seeds has a single seed, because the race detector makes a pattern take several times as long.
var seeds = []uint64{1}
