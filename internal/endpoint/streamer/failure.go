package streamer

import (
	"errors"
	"fmt"
	"time"
)

// Failure is the way in which a request to an engine failed.
type Failure uint8

// Failures.
const (
	// NotConnected means that no connection was made, so nothing ran.
	NotConnected Failure = iota + 1
	// Refused means that the engine answered with a status other than 200, so nothing ran.
	Refused
	// Mismatched means that the response belongs to another attempt.
	Mismatched
	// Silent means that no byte was received for the chunk gap, or that a piece of the request could not be written
	// within it.
	Silent
	// CutShort means that the response is malformed, contains an error object, or ended without its end marker.
	CutShort
	// Died means that the connection broke.
	Died
	// Abandoned means that the context ended or the deadline of the grant passed before the response was complete.
	Abandoned
	// Miscounted means that the number of tokens received differs from the number that the engine reports, so text is missing or
	// repeated at an unknown position.
	Miscounted
)

// String returns the name used in logs and metrics.
func (f Failure) String() string {
	names := [...]string{"None", "NotConnected", "Refused", "Mismatched", "Silent", "CutShort", "Died", "Abandoned", "Miscounted"}
	if int(f) >= len(names) {
		return "Unknown"
	}
	return names[f]
}

// Error is the type of all errors of requests to engines.
type Error struct {
	Failure Failure
	Address string
	// Status is the HTTP status of a refusal, or zero.
	Status int
	// RetryAfter is the delay that a refusal requests, or zero.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Failure == Refused {
		return fmt.Sprintf("engine %s: %s with status %d: %v", e.Address, e.Failure, e.Status, e.Err)
	}
	return fmt.Sprintf("engine %s: %s: %v", e.Address, e.Failure, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// FailureOf returns the failure that err carries, or zero.
func FailureOf(err error) Failure {
	var e *Error
	if errors.As(err, &e) {
		return e.Failure
	}
	return 0
}
