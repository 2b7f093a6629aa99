package verifier

import (
	"math/rand/v2"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/tabler"
)

// clock runs scheduled actions in simulated time.
type clock struct {
	now     time.Duration
	seq     int
	queue   *tabler.Timeline[int]
	actions map[int]func()
}

func newClock() *clock { return &clock{queue: tabler.NewTimeline[int](), actions: map[int]func(){}} }

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	c.actions[c.seq] = run
	c.queue.Set(c.seq, epoch.Add(c.now+d))
}

func (c *clock) runUntil(end time.Duration) {
	for at, ok := c.queue.Next(); ok && !at.After(epoch.Add(end)); at, ok = c.queue.Next() {
		c.now = at.Sub(epoch)
		for _, seq := range c.queue.Due(at) {
			c.actions[seq]()
			delete(c.actions, seq)
		}
	}
	c.now = end
}

// fabric simulates the network between nodes: it loses, duplicates, delays and reorders messages. Nodes on different sides do not
// reach each other.
type fabric struct {
	clock *clock
	rand  *rand.Rand
	loss  float64
	// side is the side of a partition that a node is on. Nodes in noLog do not reach the log. Answers of the log reach nodes in
	// slowLog up to 3 s late.
	side    map[modeler.NodeID]int
	noLog   map[modeler.NodeID]bool
	slowLog map[modeler.NodeID]bool
	// delayed nodes get messages from other sides, but up to 14 s late.
	delayed map[modeler.NodeID]bool
	// faultless turns off losses, duplicates and long delays.
	faultless bool
}

func (f *fabric) delay() time.Duration {
	d := time.Duration(1+f.rand.IntN(20)) * time.Millisecond
	if !f.faultless && f.rand.IntN(50) == 0 {
		d += time.Duration(f.rand.IntN(8_000)) * time.Millisecond
	}
	return d
}

// heal ends partitions and their delays.
func (f *fabric) heal() {
	clear(f.side)
	clear(f.slowLog)
	clear(f.delayed)
}

// send calls deliver zero, one or two times, each after a delay.
func (f *fabric) send(from, to modeler.NodeID, deliver func()) {
	copies := 1
	if !f.faultless && f.rand.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		delay := f.delay()
		switch {
		case f.side[from] != f.side[to] && f.delayed[to]:
			delay += time.Duration(f.rand.IntN(14_000)) * time.Millisecond
		case f.side[from] != f.side[to], !f.faultless && f.rand.Float64() < f.loss:
			continue
		}
		f.clock.after(delay, deliver)
	}
}

// fakeLog simulates one stream of the log service: ordered, with outages, lost acknowledgements and late commits.
type fakeLog struct {
	fabric    *fabric
	records   []modeler.Record
	downUntil time.Duration
	// onCommit is called for each record in log order.
	onCommit func(modeler.Record)
}

func (l *fakeLog) down() bool { return l.fabric.clock.now < l.downUntil }

func (l *fakeLog) commit(value any) {
	record := modeler.Record{Offset: int64(len(l.records) + 1), Value: value}
	l.records = append(l.records, record)
	l.onCommit(record)
}

// append adds a record. It passes to done whether the append failed for the caller; its record may be committed all the same.
func (l *fakeLog) append(value any, done func(failed bool)) {
	l.fabric.clock.after(l.fabric.delay(), func() {
		lost := !l.fabric.faultless && l.fabric.rand.IntN(6) == 0
		switch {
		case l.down() && l.fabric.rand.IntN(2) == 0:
			// The append was accepted before the outage and is committed after it.
			l.fabric.clock.after(l.downUntil-l.fabric.clock.now+l.fabric.delay(), func() { l.commit(value) })
			lost = true
		case l.down():
			lost = true
		case lost && l.fabric.rand.IntN(2) == 0:
			l.fabric.clock.after(time.Duration(l.fabric.rand.IntN(20_000))*time.Millisecond, func() { l.commit(value) })
		default:
			l.commit(value)
		}
		l.fabric.clock.after(l.fabric.delay(), func() { done(lost) })
	})
}

// read passes the records after an offset to done. They are those at the time when the read arrives; the answer may take much longer.
func (l *fakeLog) read(id modeler.NodeID, from int64, done func(records []modeler.Record, failed bool)) {
	l.fabric.clock.after(l.fabric.delay(), func() {
		records, failed := l.records[from:len(l.records):len(l.records)], l.down()
		back := l.fabric.delay()
		if l.fabric.slowLog[id] {
			back += time.Duration(l.fabric.rand.IntN(3_000)) * time.Millisecond
		}
		l.fabric.clock.after(back, func() { done(records, failed) })
	})
}
