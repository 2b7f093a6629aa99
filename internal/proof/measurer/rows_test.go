package measurer

import (
	"runtime"
	"testing"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// BenchmarkRows measures the memory of the rows of each table, including their strings.
func BenchmarkRows(b *testing.B) {
	for _, c := range []struct {
		name  string
		sizes []int
		put   func(w *modeler.World, i int)
	}{
		{"node", []int{9, 90, 330}, func(w *modeler.World, i int) {
			w.Nodes.Put(nodeID(i), modeler.Node{ID: nodeID(i), Registered: true}.WithSender(sender(i)))
		}},
		{"endpoint", []int{20, 200, 660}, func(w *modeler.World, i int) {
			w.Endpoints.Put(endpointID(i), modeler.Endpoint{ID: endpointID(i), Address: sender(i).Address, Holder: nodeID(i), BootID: "0199f3c2a000"})
		}},
		{"member", []int{10, 570, 5_700}, func(w *modeler.World, i int) {
			w.Members.Put(memberID(i), modeler.Member{ID: memberID(i)})
		}},
		{"request", []int{10, 100, 1_000}, func(w *modeler.World, i int) {
			w.Requests.Put(requestID(i), modeler.Request{ID: requestID(i), Member: memberID(i), Attempt: attemptID(i), Deadline: time.Unix(1, 0)})
		}},
		{"permit", []int{10, 100, 1_000}, func(w *modeler.World, i int) {
			w.Permits.Put(attemptID(i), modeler.Permit{Attempt: attemptID(i), Node: nodeID(i), Request: requestID(i)})
		}},
	} {
		runSizes(b, c.name, "rows", c.sizes, func(b *testing.B, n int) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			world := modeler.NewWorld(modeler.Self{})
			for i := range n {
				c.put(world, i)
			}
			// The first iteration allocates the sorted keys of a table.
			for range world.Nodes.All() {
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				c.put(world, 0)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
			runtime.KeepAlive(world)
		})
	}
}
