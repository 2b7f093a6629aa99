package accountant

import (
	"cmp"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/tabler"
)

// Policy ranks connections by how soon they give way. Rank returns a larger number for a connection that gives way earlier. Frees returns how much of
// what is short the connection holds.
type Policy interface {
	Rank(now time.Time, row Row) float64
	Frees(row Row) int64
}

// referencePace is the pace in bytes a second at which a body counts as moving. What a connection has received at this pace does not count as
// time that it has stood.
const referencePace = 1 << 20

// lag returns how long a connection has stood beyond the time that its bytes take at referencePace.
func lag(now time.Time, row Row) time.Duration {
	moving := time.Duration(float64(row.Received) / referencePace * float64(time.Second))
	return max(now.Sub(row.Since)-moving, 0)
}

// HeldTime ranks connections by the bytes that they hold times the time that they have stood. It is the policy for memory.
type HeldTime struct{}

// Rank implements Policy.
func (HeldTime) Rank(now time.Time, row Row) float64 {
	return float64(row.Held) * lag(now, row).Seconds()
}

// Frees implements Policy.
func (HeldTime) Frees(row Row) int64 { return row.Held }

// StoodTime ranks connections by the time that they have stood. It is the policy for descriptors, of which each connection holds one.
type StoodTime struct{}

// Rank implements Policy.
func (StoodTime) Rank(now time.Time, row Row) float64 { return lag(now, row).Seconds() }

// Frees implements Policy.
func (StoodTime) Frees(Row) int64 { return 1 }

// ranked is a connection with its rank.
type ranked struct {
	id   HoldID
	row  Row
	rank float64
}

// choose returns the connections that give way so that needed units of what is short become free, the first ones by the policy. It considers the rows that
// eligible accepts, and none in the phase Serving. It returns nil if they do not suffice, or if the connection asking is among those that would have
// to give way.
func choose[P Policy](
	policy P, now time.Time, rows *tabler.Table[HoldID, Row], asking HoldID, needed int64, eligible func(Row) bool,
) []HoldID {
	var order []ranked
	for id, row := range rows.All() {
		if row.Phase != Serving && !row.Ended && eligible(row) {
			order = append(order, ranked{id: id, row: row, rank: policy.Rank(now, row)})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Or(-cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id)) })
	var chosen []HoldID
	for _, r := range order {
		if r.id == asking {
			return nil
		}
		chosen = append(chosen, r.id)
		if needed -= policy.Frees(r.row); needed <= 0 {
			return chosen
		}
	}
	return nil
}
