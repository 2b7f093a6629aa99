// Package soaker runs nodes as separate processes against stand-ins of the platform, injects random faults from outside, and checks the
// promises from what callers and endpoints see. Its code is in test files.
package soaker
