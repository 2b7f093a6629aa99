package applier

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// rulesText returns the text of a rule file with one share per member.
func rulesText(members, version int) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "fleet tokens=%d # Vera, fleet of two years\n", 264_000_000+version)
	for i := range members {
		_, _ = fmt.Fprintf(&text, "share team-%05d percent=0.0%d # Vera, contract of the team\n", i, 1+i%9)
	}
	return text.String()
}

// newWorld returns the state of the node with the largest ID among the given number of nodes.
func newWorld(nodes int) *modeler.World {
	self := modeler.NodeID(fmt.Sprintf("entry-%03d/1", nodes-1))
	world := modeler.NewWorld(modeler.Self{Sender: modeler.Sender{ID: self}})
	for i := range nodes {
		id := modeler.NodeID(fmt.Sprintf("entry-%03d/1", i))
		world.Nodes.Put(id, modeler.Node{ID: id, Registered: true})
	}
	return world
}

// BenchmarkTick measures a tick without events on the node that would renew last.
func BenchmarkTick(b *testing.B) {
	for _, nodes := range []int{9, 90, 330} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			world := newWorld(nodes)
			s := New(Options{RenewInterval: time.Hour, NewPublishID: func() string { return "p" }})
			s.Run(&modeler.Tick{Now: now, Events: []modeler.Event{modeler.RecordsRead{
				Stream: modeler.StreamRules, AtEnd: true,
				Records: []modeler.Record{{Offset: 1, Time: now, Value: modeler.RulesPublished{Text: rulesText(10, 0)}}},
			}}}, world)
			for b.Loop() {
				s.Run(&modeler.Tick{Now: now}, world)
			}
		})
	}
}

// BenchmarkFile measures parsing a new file from another node and putting it into effect. The fleet size differs between files, so
// that every cap changes.
func BenchmarkFile(b *testing.B) {
	for _, members := range []int{10, 570, 5_700} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			world := newWorld(9)
			s := New(Options{})
			texts := []string{rulesText(members, 0), rulesText(members, 1_000)}
			version := 0
			for b.Loop() {
				version++
				s.Run(&modeler.Tick{Events: []modeler.Event{modeler.PeerReceived{Messages: []modeler.Message{
					modeler.RulesFile{Version: modeler.Version(version), Text: texts[version%2]},
				}}}}, world)
			}
			b.ReportMetric(float64(len(texts[0])), "B/file")
		})
	}
}

// BenchmarkStart measures the memory that a starting node uses before it reaches the end of the stream, for different numbers of
// files in the log.
func BenchmarkStart(b *testing.B) {
	for _, files := range []int{1, 10, 40} {
		b.Run(fmt.Sprintf("files=%d", files), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s, world := New(Options{}), newWorld(9)
			for i := range files {
				s.Run(&modeler.Tick{Events: []modeler.Event{modeler.RecordsRead{
					Stream:  modeler.StreamRules,
					Records: []modeler.Record{{Offset: int64(i + 1), Value: modeler.RulesPublished{Base: modeler.Version(i), Text: rulesText(5_700, i)}}},
				}}}, world)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				s.Run(&modeler.Tick{}, world)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
		})
	}
}
