package modeler

import "fmt"

// Record is a record of a topic of the store. A nil Value means that the key was dropped.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is what one call to the store read.
type Page struct {
	Records []Record
	// Next is the offset to go on from.
	Next int64
}

// TruncatedError says that the store no longer holds the records asked for.
type TruncatedError struct{ First int64 }

// Error implements error.
func (e TruncatedError) Error() string {
	return fmt.Sprintf("records before offset %d are deleted", e.First)
}
