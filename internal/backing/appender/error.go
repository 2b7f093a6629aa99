package appender

import (
	"errors"
	"fmt"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// AppendError is the error of an append.
type AppendError struct {
	Stream modeler.Stream
	// MayHaveLanded is false when the record has not been appended and never will be.
	MayHaveLanded bool
	Err           error
}

// Error implements error.
func (e *AppendError) Error() string {
	if e.MayHaveLanded {
		return fmt.Sprintf("append to %s: may have landed: %v", e.Stream, e.Err)
	}
	return fmt.Sprintf("append to %s: not appended: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *AppendError) Unwrap() error { return e.Err }

// IsNotAppended tells whether err says that the record has not been appended and never will be.
func IsNotAppended(err error) bool {
	var failed *AppendError
	return errors.As(err, &failed) && !failed.MayHaveLanded
}
