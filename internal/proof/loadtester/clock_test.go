package loadtester

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their simulated times, and in the order of their calls for equal times.
type clock struct {
	now   time.Time
	calls callHeap
	count int
}

type call struct {
	at    time.Time
	order int
	run   func()
}

// callHeap implements heap.Interface.
type callHeap []call

func (h callHeap) Len() int { return len(h) }

func (h callHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h callHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *callHeap) Push(x any) { *h = append(*h, x.(call)) }

func (h *callHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// after schedules run after a delay.
func (c *clock) after(delay time.Duration, run func()) { c.at(c.now.Add(delay), run) }

// at schedules run at a time, or now if that time has passed.
func (c *clock) at(at time.Time, run func()) {
	if at.Before(c.now) {
		at = c.now
	}
	c.count++
	heap.Push(&c.calls, call{at: at, order: c.count, run: run})
}

// runUntil runs all functions up to the given time.
func (c *clock) runUntil(end time.Time) {
	for len(c.calls) > 0 && !c.calls[0].at.After(end) {
		next := heap.Pop(&c.calls).(call)
		c.now = next.at
		next.run()
	}
	c.now = end
}
