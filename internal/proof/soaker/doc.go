// Package soaker runs nodes as separate processes against stand-ins of the platform, injects random faults from outside, and checks the
// guarantees by what callers and endpoints observe. All code is in test files.
package soaker
