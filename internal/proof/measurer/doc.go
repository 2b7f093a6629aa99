// Package measurer holds the benchmarks that need several packages. They measure the bytes and the processor time of each kind of
// message on loopback connections, of log appends and reads, engine reports, the instance list and address lists, and the memory of
// table rows. See docs/CAPACITY.md.
package measurer
