// Package modeler defines the values of the control state: the rows of its tables, its input events, its output effects and the
// messages between nodes. All values are immutable; With methods return changed copies. The package is independent of
// the encoding of messages.
package modeler

import (
	"strings"
	"time"
)

// NodeID identifies one incarnation of a node, in the form "name/incarnation". An incarnation is one run of a node; a node that other
// nodes have reclaimed starts again as a new incarnation.
type NodeID string

// Name returns the configured name of the node, which all its incarnations share.
func (n NodeID) Name() string {
	name, _, _ := strings.Cut(string(n), "/")
	return name
}

// MemberID identifies a member, which is entitled to a share of the fleet.
type MemberID string

// EndpointID identifies a model engine or plain service.
type EndpointID string

// DataCentreID identifies a data centre.
type DataCentreID string

// RequestID identifies one request of a caller.
type RequestID string

// AttemptID identifies one attempt to run a request on an endpoint. A retry has a new AttemptID.
type AttemptID string

// TransferID identifies one transfer of share balance between two nodes.
type TransferID string

// Tokens is a number of tokens of prompt, output or engine memory.
type Tokens int64

// Version is the log offset of the record that carries a rule file. Versions only increase.
type Version int64

// Term numbers successive holders of an endpoint. It is the fencing token of orders, that is requests and cancellations sent to the
// endpoint.
type Term uint64

// LengthClass groups prompts by length.
type LengthClass uint8

// Length classes, shortest first.
const (
	Short LengthClass = iota
	Medium
	Long
	Huge
)

// Upper bounds of the length classes, in prompt tokens.
const (
	ShortLimit  Tokens = 4_000
	MediumLimit Tokens = 32_000
	LongLimit   Tokens = 100_000
)

// ClassOf returns the length class of a prompt.
func ClassOf(prompt Tokens) LengthClass {
	switch {
	case prompt <= ShortLimit:
		return Short
	case prompt <= MediumLimit:
		return Medium
	case prompt <= LongLimit:
		return Long
	default:
		return Huge
	}
}

// String returns the name used in metrics and reports.
func (c LengthClass) String() string {
	return [...]string{"Short", "Medium", "Long", "Huge"}[c]
}

// Times of gossip, fences and reclaims. See docs/design.md, section 8.1.
const (
	GossipInterval = 500 * time.Millisecond
	// FenceTimeout is how long a node may start new work after it sent a read that reached the end of the log or a VouchAsk that
	// was confirmed.
	FenceTimeout = 2500 * time.Millisecond
	// ReclaimDelay is how long a reclaiming node waits after it has read its own NodeReclaim record before it uses the reclaimed
	// balances. It exceeds FenceTimeout by a clock margin of 1.5 s.
	ReclaimDelay = 4 * time.Second
)
