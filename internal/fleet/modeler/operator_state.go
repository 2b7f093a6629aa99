package modeler

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// StateID identifies the content of an OperatorState. Two nodes that hold the same one can send each other differences from it.
type StateID uint64

// OperatorState is the newest record of each key that operators have written. It is immutable.
type OperatorState struct {
	// ID is zero for a state without records.
	ID StateID
	// Records are in the order of their keys, each of which occurs once.
	Records []Record
	// Next is the offset before which all records are known.
	Next Position
	// Version is the highest Version of the records.
	Version int64
}

// NewOperatorState returns the state with the given records, which it sorts.
func NewOperatorState(records []Record, next Position) OperatorState {
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	if len(records) == 0 {
		return OperatorState{Next: next}
	}
	hash := xxhash.New()
	var buffer []byte
	var version int64
	for _, r := range records {
		version = max(version, r.Version)
		buffer = binary.AppendVarint(buffer[:0], int64(r.Offset))
		buffer = binary.AppendUvarint(buffer, uint64(len(r.Key)))
		buffer = append(buffer, r.Key...)
		buffer = binary.AppendUvarint(buffer, uint64(len(r.Value)))
		_, _ = hash.Write(buffer)
		_, _ = hash.Write(r.Value)
	}
	_, _ = hash.Write(binary.AppendVarint(buffer[:0], int64(next)))
	return OperatorState{ID: StateID(max(hash.Sum64(), 1)), Records: records, Next: next, Version: version}
}

// Size returns the size of the keys and values in bytes.
func (s OperatorState) Size() int {
	size := 0
	for _, r := range s.Records {
		size += len(r.Key) + len(r.Value)
	}
	return size
}
