package batcher

import "time"

// Event is an input of a tick.
type Event interface{ event() }

// Submit asks the engine to run a request. The same tick returns Accepted or Refused.
type Submit struct {
	Attempt   string
	Node      string
	Priority  int
	Prompt    Prompt
	MaxTokens int
	// ExpiresAt is when the request ends with Expired; the zero time means never.
	ExpiresAt time.Time
}

// Cancel ends a sequence. The same tick returns Cancelled if the sequence exists.
type Cancel struct{ Attempt string }

// StartCold begins a cold start without a new boot.
type StartCold struct{}

// Slow multiplies the durations of later steps by Factor.
type Slow struct{ Factor float64 }

// MakeExport retains the KV memory of a sequence's processed prompt blocks under ID until ExpiresAt.
type MakeExport struct {
	ID, Attempt string
	ExpiresAt   time.Time
}

// DropExport frees the memory of an export.
type DropExport struct{ ID string }

// Import stores the blocks of another engine's export in the prefix cache.
type Import struct{ Blocks []uint64 }

func (Submit) event()     {}
func (Cancel) event()     {}
func (StartCold) event()  {}
func (Slow) event()       {}
func (MakeExport) event() {}
func (DropExport) event() {}
func (Import) event()     {}

// Effect is an output of a tick.
type Effect interface{ effect() }

// Accepted reports that a request will run.
type Accepted struct {
	Attempt string
	Cold    bool
}

// Reason is why a request was refused.
type Reason uint8

// Reasons.
const (
	// Full means that the free KV memory is too small for the request at present.
	Full Reason = iota + 1
	// TooLong means that the request needs more than the whole KV memory.
	TooLong
	// Duplicate means that a sequence with the same attempt already exists.
	Duplicate
	// Invalid means that the prompt is empty or MaxTokens is below 1.
	Invalid
)

// Refused reports that a request will not run.
type Refused struct {
	Attempt string
	Reason  Reason
}

// Token carries one token of a sequence.
type Token struct {
	Attempt string
	Text    string
}

// Finished reports that a sequence is complete.
type Finished struct {
	Attempt string
	// Finish is "stop" or "length".
	Finish string
	// Prompt and Tokens are the lengths of the prompt and of the output, in tokens.
	Prompt int
	Tokens int
	// Cached is the number of prompt tokens that came from the prefix cache.
	Cached int
}

// Cancelled reports that Cancel ended a sequence.
type Cancelled struct{ Attempt string }

// Expired reports that a sequence reached its ExpiresAt.
type Expired struct{ Attempt string }

// Crashed reports that the engine crashed. Its state is lost, and the owner must replace it by a new engine.
type Crashed struct{ Cause string }

func (Accepted) effect()  {}
func (Refused) effect()   {}
func (Token) effect()     {}
func (Finished) effect()  {}
func (Cancelled) effect() {}
func (Expired) effect()   {}
func (Crashed) effect()   {}
