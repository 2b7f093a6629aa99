//go:build !race

package loadtester

// seeds are the seeds of the arrivals that each pattern is played with.
var seeds = []uint64{1, 2, 3}
