package modeler

import "fmt"

// Record is a record of a topic in the store. A nil Value means that the key was deleted.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// MaxEra is the highest era of the store that this version can represent.
const MaxEra = 1<<20 - 1

// Page is the result of one read from the store.
type Page struct {
	Records []Record
	// Next is the offset at which to continue reading.
	Next int64
	// End is the end offset of the topic at the time of the read. If it is higher than Next, the page holds only a part of the records.
	End int64
}

// TruncatedError reports that the requested records are no longer in the store. First is the lowest offset that can be read.
type TruncatedError struct{ First int64 }

// Error implements error.
func (e TruncatedError) Error() string {
	return fmt.Sprintf("records before offset %d are deleted", e.First)
}
