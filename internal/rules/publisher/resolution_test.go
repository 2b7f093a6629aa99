package publisher_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/rules/publisher"
)

// generateLog returns a stream in which operators publish from current or stale versions, repeat publish IDs and renew. For each
// record it also returns the version in effect after it, computed independently of the code under test, and the last record that
// set or renewed that version. The records name only bases that were once in effect.
func generateLog(t *rapid.T) (records []modeler.Record, versions []modeler.Version, settled []int64) {
	past := []modeler.Version{0}
	ids := map[string]modeler.RulesPublished{}
	last := int64(0)
	for offset := int64(1); offset <= int64(rapid.IntRange(1, 30).Draw(t, "records")); offset++ {
		current := past[len(past)-1]
		base := rapid.SampledFrom(append(past, current, current, current)).Draw(t, "base")
		value := publish(fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "id")), base, fmt.Sprint(offset))
		if base > 0 && rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
			original := records[base-1].Value.(modeler.RulesPublished)
			value = publisher.State{Version: base, Author: original.Author, Text: original.Text}.Renewal("renewal")
		} else if earlier, ok := ids[value.PublishID]; ok {
			value = earlier
		} else {
			ids[value.PublishID] = value
		}
		records = append(records, modeler.Record{Offset: offset, Value: value})
		if value.Base == current {
			last = offset
			if value.Renews == 0 {
				past = append(past, modeler.Version(offset))
			}
		}
		settled = append(settled, last)
		versions = append(versions, past[len(past)-1])
	}
	return records, versions, settled
}

// TestReadersAgree guards against nodes with different rule files in effect and against a version that decreases, for nodes that
// read the whole stream, start from a peer's file, get records twice, or start after the oldest records are gone.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, versions, settled := generateLog(t)
		var follower publisher.Resolution
		before := modeler.Version(0)
		for n, want := range versions {
			end := n + 1
			assert.Assert(t, want >= before)
			before = want
			follower = follower.With(records[max(n-rapid.IntRange(0, 3).Draw(t, "again"), 0):end])
			assert.Equal(t, follower.Current.Version, want)
			assert.DeepEqual(t, publisher.Resolve(records[:end]), follower)
			if want > 0 {
				peer := publisher.StateAt(modeler.Rules{Version: want, Text: follower.Current.Text})
				assert.Equal(t, publisher.Resolution{Current: peer}.With(records[:end]).Current.Version, want)
			}
			// The log keeps the last record that put the version into effect or renewed it; see Resolve.
			if kept := settled[n]; kept > 0 {
				first := rapid.Int64Range(1, kept).Draw(t, "first")
				late := publisher.Resolve(records[first-1 : end]).Current
				assert.Equal(t, late, follower.Current)
			}
		}
	})
}

// TestPublishIDTakesEffectOnce guards against a repeated append that takes effect a second time.
func TestPublishIDTakesEffectOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, _, _ := generateLog(t)
		applied := map[string]int{}
		resolution := publisher.Resolve(records)
		for _, d := range resolution.Decisions {
			if d.Applied {
				applied[d.Published.PublishID]++
				decision, ok := resolution.DecisionFor(d.Published.PublishID)
				assert.Assert(t, ok && decision == d)
			}
		}
		for id, times := range applied {
			assert.Equal(t, times, 1, id)
		}
	})
}

// TestResolve guards against records that take effect when they must not.
func TestResolve(t *testing.T) {
	record := func(offset int64, value any) modeler.Record { return modeler.Record{Offset: offset, Value: value} }
	tests := []struct {
		name    string
		records []modeler.Record
		want    publisher.State
	}{
		{"empty stream", nil, publisher.State{}},
		{"other values", []modeler.Record{record(1, "text"), record(2, nil)}, publisher.State{At: 2}},
		{"renewal of a version that was replaced", []modeler.Record{
			record(1, publish("a", 0, "1")), record(2, publish("b", 1, "2")), record(3, modeler.RulesPublished{Base: 1, Renews: 1, Text: "1"}),
		}, publisher.State{Version: 2, Text: "2", Author: "op-b", TextKnown: true, At: 3}},
		{"renewal of a version that never existed", []modeler.Record{
			record(1, publish("a", 0, "1")), record(2, modeler.RulesPublished{Base: 1, Renews: 9, Text: "9"}),
		}, publisher.State{Version: 1, Text: "1", Author: "op-a", TextKnown: true, At: 2}},
		{"text is gone", []modeler.Record{record(7, publish("late", 3, "old")), record(8, publish("c", 5, "8")), record(9, publish("d", 5, "9"))},
			publisher.State{Version: 8, Text: "8", Author: "op-c", TextKnown: true, At: 9}},
		{"text of another version", []modeler.Record{record(7, modeler.RulesPublished{Base: 5, Renews: 4, Text: "4"})}, publisher.State{Version: 5, At: 7}},
		{"text comes with a renewal", []modeler.Record{record(7, modeler.RulesPublished{Base: 5, Renews: 5, Text: "5"})},
			publisher.State{Version: 5, Text: "5", TextKnown: true, At: 7}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, publisher.Resolve(tt.records).Current, tt.want)
		})
	}
}
