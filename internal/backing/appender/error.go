package appender

import (
	"errors"
	"fmt"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// AppendError is the error of an append.
type AppendError struct {
	Stream modeler.Stream
	// MaybeAppended is false if the record has not been appended and never will be.
	MaybeAppended bool
	Err           error
}

// Error implements error.
func (e *AppendError) Error() string {
	if e.MaybeAppended {
		return fmt.Sprintf("append to %s: may have been appended: %v", e.Stream, e.Err)
	}
	return fmt.Sprintf("append to %s: not appended: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *AppendError) Unwrap() error { return e.Err }

// IsNotAppended reports whether err is an *AppendError of a record that has not been appended and never will be.
func IsNotAppended(err error) bool {
	var failed *AppendError
	return errors.As(err, &failed) && !failed.MaybeAppended
}
