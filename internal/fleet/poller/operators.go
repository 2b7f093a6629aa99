package poller

import (
	"cmp"
	"slices"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// maxState bounds the operators' records that are sent in one datagram. Nodes read larger ones from the store.
const maxState = 48 << 10

// operators holds the newest record of each key that operators have written, for nodes that the store turns away.
type operators struct {
	records map[string]modeler.Record
	// next is the offset up to which they are known.
	next int64
	// changed is set while the last change has not been sent.
	changed bool
}

func newOperators() operators { return operators{records: map[string]modeler.Record{}} }

// keep takes over what was read.
func (o *operators) keep(read modeler.TopicRead) {
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

// news returns the state once after each change.
func (o *operators) news() (modeler.OperatorState, bool) {
	if !o.changed {
		return modeler.OperatorState{}, false
	}
	o.changed = false
	return o.state()
}

// state returns all records in the order in which they were written. It returns false if they do not fit one datagram.
func (o *operators) state() (modeler.OperatorState, bool) {
	state, size := modeler.OperatorState{Next: o.next}, 0
	for _, record := range o.records {
		size += len(record.Key) + len(record.Value)
		state.Records = append(state.Records, record)
	}
	slices.SortFunc(state.Records, func(a, b modeler.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return state, size <= maxState
}
