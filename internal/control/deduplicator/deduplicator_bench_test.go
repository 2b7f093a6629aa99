package deduplicator

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

func benchCall(i int, now time.Time) modeler.Call {
	return modeler.Call{
		Member: modeler.MemberID(fmt.Sprintf("team-%05d", i%5_700)), Key: fmt.Sprintf("018f3c2a-0000-7000-8000-%012d", i), KeyTime: now, BodyHash: 1,
		Attempt: modeler.AttemptID(fmt.Sprintf("018f3c2a-0000-7000-8000-%012d#018f3c2a-0000-7000-8000-%012d", i, i)), Node: "entry-001/abcdef",
		Deadline: now.Add(time.Minute),
	}
}

// readCall runs a tick that reads the intent and the outcome of call i.
func readCall(d *System, world *modeler.World, now time.Time, i int) {
	c := benchCall(i, now)
	outcome := modeler.CallOutcome{Ran: true, Known: true, Status: 200, ContentType: "application/json", Body: []byte(`{"Booking":"B-1234","Confirmed":true}`)}
	d.Run(&modeler.Tick{Now: now, Events: []modeler.Event{modeler.RecordsRead{
		Stream: modeler.StreamCalls, AtEnd: true,
		Records: []modeler.Record{{Offset: int64(2*i + 1), Value: modeler.CallIntent{Call: c}}, {Offset: int64(2*i + 2), Value: modeler.CallFinished{Call: c, Outcome: outcome}}},
	}}}, world)
}

// BenchmarkTick measures a tick without events, and the heap that the stored keys use.
func BenchmarkTick(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			now := time.Unix(1_000_000, 0)
			d, world := New(Options{Retention: 24 * time.Hour}), modeler.NewWorld(modeler.Self{})
			for i := range keys {
				readCall(d, world, now, i)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				d.Run(&modeler.Tick{Now: now}, world)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
		})
	}
}

// BenchmarkRead measures reading the intent and the outcome of one call of another node.
func BenchmarkRead(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			d, world := New(Options{Retention: 24 * time.Hour}), modeler.NewWorld(modeler.Self{})
			for i := range keys {
				readCall(d, world, now, i)
			}
			n := keys
			for b.Loop() {
				n++
				readCall(d, world, now, n)
			}
		})
	}
}
