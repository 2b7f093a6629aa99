package invoker

import (
	"errors"
	"fmt"
)

// Failure is the way in which a call failed.
type Failure uint8

// Failures.
const (
	// NotConnected means that no connection was made.
	NotConnected Failure = iota + 1
	// Died means that the connection broke before the response was complete.
	Died
	// Mismatched means that the response belongs to another attempt.
	Mismatched
	// TooLarge means that the body of the response exceeds the limit.
	TooLarge
	// Abandoned means that the context ended or the deadline of the grant passed before the call was complete.
	Abandoned
	// Invalid means that the request cannot be sent.
	Invalid
	// Malformed means that the head of the response is invalid.
	Malformed
)

// String returns the name used in logs and metrics.
func (f Failure) String() string {
	names := [...]string{"None", "NotConnected", "Died", "Mismatched", "TooLarge", "Abandoned", "Invalid", "Malformed"}
	if int(f) >= len(names) {
		return "Unknown"
	}
	return names[f]
}

// Error is the type of all errors of Call.
type Error struct {
	Failure Failure
	Address string
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("service %s: %s: %v", e.Address, e.Failure, e.Err)
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
