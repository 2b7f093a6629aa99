package modeler

import "strconv"

// Position is the place of a record in a topic of the store, or the end of a topic: the era of the store and the offset in it. Positions are ordered by era and
// then by offset, so that whatever was written in a later era comes later, although offsets are given out again when the store comes back from a copy. A
// position plus one is that of the next record.
type Position int64

const (
	// offsetBits is the number of bits of a Position that hold the offset.
	offsetBits = 40
	// MaxEra is the highest era of a Position. It keeps positions below UnregisteredRank.
	MaxEra = 1<<21 - 1
)

// NewPosition returns the position of an offset in an era of at most MaxEra.
func NewPosition(era, offset int64) Position { return Position(era<<offsetBits | offset) }

// Era returns the era of the store.
func (p Position) Era() int64 { return int64(p) >> offsetBits }

// Offset returns the offset in the era.
func (p Position) Offset() int64 { return int64(p) & (1<<offsetBits - 1) }

// Before returns the position of the record that is count records earlier, or that of the first one of the era if there are fewer.
func (p Position) Before(count int64) Position { return NewPosition(p.Era(), max(p.Offset()-count, 0)) }

// String implements fmt.Stringer: the offset, after the era and a colon for a store with eras, or none for UnregisteredRank.
func (p Position) String() string {
	if p == UnregisteredRank {
		return "none"
	}
	offset := strconv.FormatInt(p.Offset(), 10)
	if era := p.Era(); era > 0 {
		return strconv.FormatInt(era, 10) + ":" + offset
	}
	return offset
}
