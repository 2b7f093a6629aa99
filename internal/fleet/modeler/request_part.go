package modeler

import "github.com/cespare/xxhash/v2"

// RequestPart is one of Count parts into which requests are divided by their IDs, with an Index from 0. The zero value is the only part.
type RequestPart struct{ Index, Count int }

// Contains reports whether a request is in the part.
func (p RequestPart) Contains(id RequestID) bool {
	return p.Count <= 1 || xxhash.Sum64String(string(id))%uint64(p.Count) == uint64(p.Index)
}
