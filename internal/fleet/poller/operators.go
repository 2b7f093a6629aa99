package poller

import (
	"cmp"
	"slices"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// maxStateBytes bounds the keys and values of the operators' records that are sent in one datagram. Nodes read larger states from the store.
const maxStateBytes = 48 << 10

// operatorRecords holds the newest record of each key that operators have written. They are sent to nodes whose calls the store rejects.
type operatorRecords struct {
	records map[string]modeler.Record
	// next is the offset after the last record that was read.
	next int64
	// changed is set until changedState returns the last change.
	changed bool
}

func newOperatorRecords() operatorRecords {
	return operatorRecords{records: map[string]modeler.Record{}}
}

// update applies the records of a read. Reads that are not newer than the known records are ignored.
func (o *operatorRecords) update(read modeler.TopicRead) {
	if read.Next <= o.next {
		return
	}
	o.next = read.Next
	if read.Listed {
		clear(o.records)
	}
	for _, record := range read.Records {
		o.records[record.Key] = record
		if record.Value == nil {
			delete(o.records, record.Key)
		}
		o.changed = true
	}
}

// changedState returns the state and its size if it has changed since the last call.
func (o *operatorRecords) changedState() (state modeler.OperatorState, size int, changed bool) {
	if !o.changed {
		return modeler.OperatorState{}, 0, false
	}
	o.changed = false
	state, size = o.state()
	return state, size, true
}

// state returns all records in the order of their offsets, and the size of their keys and values in bytes.
func (o *operatorRecords) state() (modeler.OperatorState, int) {
	state, size := modeler.OperatorState{Next: o.next}, 0
	for _, record := range o.records {
		size += len(record.Key) + len(record.Value)
		state.Records = append(state.Records, record)
	}
	slices.SortFunc(state.Records, func(a, b modeler.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return state, size
}
