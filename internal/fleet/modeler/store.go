package modeler

import "fmt"

// Record is a record of a topic in the store. A nil Value means that the key was deleted.
type Record struct {
	Key    string
	Value  []byte
	Offset Position
	// Version is the operators' own order of the records of a key; zero if they give none. Unlike a position, it holds when the store comes back from a
	// copy. The follower sets it.
	Version int64
}

// Page is the result of one read from the store.
type Page struct {
	Records []Record
	// Next is the position at which to continue reading.
	Next Position
	// End is the end of the topic at the time of the read. If it is higher than Next, the page holds only a part of the records.
	End Position
}

// TruncatedError reports that the requested records are no longer in the store. First is the lowest position that can be read.
type TruncatedError struct{ First Position }

// Error implements error.
func (e TruncatedError) Error() string {
	return fmt.Sprintf("records before %v are deleted", e.First)
}
