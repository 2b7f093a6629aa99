// Package striker tests the guarantees of docs/design.md, section 2, with real processes: it starts deployments on loopback, sends
// load and injects failures of processes, endpoints and the platform. All code is in test files; make strike prints one line per
// scenario.
package striker
