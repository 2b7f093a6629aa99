package accountant

import "time"

// Phase is what a connection does.
type Phase uint8

const (
	// Silent is the phase in which no byte of a request was read: the connection is new or idle.
	Silent Phase = iota
	// Reading is the phase from the first byte of a request until the whole request was read.
	Reading
	// Serving is the phase from then on until the end of the answer. The connection does not give way: its request may run.
	Serving
)

// String implements fmt.Stringer.
func (p Phase) String() string { return [...]string{"Silent", "Reading", "Serving"}[p] }

// Row describes a connection and what is held for it.
type Row struct {
	// Address is the IP address of the client.
	Address string
	Phase   Phase
	// Since is when the phase began.
	Since time.Time
	// Held is the number of bytes that are charged. It never exceeds the capacity of the account.
	Held int64
	// Received is the number of bytes of the body that was read in the phase Reading; zero in the others.
	Received int64
	// Ended is set once the connection was asked to give way in this phase. It is not asked again.
	Ended bool
	// phases counts the phases that have begun.
	phases int
}

// WithPhase returns the row at the begin of a phase.
func (r Row) WithPhase(phase Phase, since time.Time) Row {
	r.Phase, r.Since, r.Received, r.Ended = phase, since, 0, false
	r.phases++
	return r
}

// WithHeld returns the row with the given bytes held.
func (r Row) WithHeld(held int64) Row {
	r.Held = held
	return r
}

// WithReceived returns the row with the given bytes of the body received.
func (r Row) WithReceived(received int64) Row {
	r.Received = received
	return r
}

// WithEnded returns the row after it was asked to give way.
func (r Row) WithEnded() Row {
	r.Ended = true
	return r
}
