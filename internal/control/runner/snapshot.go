package runner

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/tabler"
)

// publishDue publishes a new snapshot unless less than snapshotInterval has passed since the last one. It
// requests a later tick to publish the events and member changes that the last snapshot does not include.
func (l *Loop) publishDue(tick *modeler.Tick) {
	due := l.publishedAt.Add(snapshotInterval)
	if tick.Now.Before(due) {
		if len(tick.Events) > 0 {
			tick.WakeAt(due)
		}
		return
	}
	l.publish(tick.Now)
	if !l.members.isCurrent(l.world.Members) {
		tick.WakeAt(l.membersAt.Add(membersInterval))
	}
}

// publish builds and stores a snapshot of the control state.
func (l *Loop) publish(now time.Time) {
	l.publishedAt = now
	w := l.world
	if !now.Before(l.membersAt.Add(membersInterval)) {
		l.membersAt = now
		l.members.refresh(w.Members)
	}
	l.endpoints.refresh(w.Endpoints)
	l.nodes.refresh(w.Nodes)
	snapshot := &modeler.Snapshot{
		At: now, Self: w.Self, Rules: w.Rules, Fenced: w.Fenced(now), Leaving: w.Leaving,
		Endpoints: l.endpoints.rows, Members: l.members.rows, Nodes: l.nodes.rows,
	}
	for _, r := range w.Requests.All() {
		if r.Phase == modeler.Running {
			snapshot.Running++
		} else {
			snapshot.Queued++
		}
	}
	l.snapshot.Store(snapshot)
}

// tableCopy is a copy of the rows of a table. Snapshots share its slice, which is never modified.
type tableCopy[K ~string, V any] struct {
	rows     []V
	revision uint64
}

// isCurrent reports whether the table has not changed since it was copied.
func (c *tableCopy[K, V]) isCurrent(table *tabler.Table[K, V]) bool {
	return c.rows != nil && c.revision == table.Revision()
}

// refresh copies the rows if the table has changed.
func (c *tableCopy[K, V]) refresh(table *tabler.Table[K, V]) {
	if c.isCurrent(table) {
		return
	}
	c.rows = make([]V, 0, table.Len())
	for _, row := range table.All() {
		c.rows = append(c.rows, row)
	}
	c.revision = table.Revision()
}
