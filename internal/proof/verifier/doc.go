// Package verifier tests the guarantees of the design under injected faults in simulated time, each against a naive version. It
// also compares three ways to enforce shares (naive, owner and escrow) under the same faults.
package verifier
