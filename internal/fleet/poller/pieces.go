package poller

import (
	"bytes"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// maxPackedBytes bounds the pieces of a state that a node collects.
	maxPackedBytes = 4 << 20
	// maxPieces bounds their number.
	maxPieces = 4096
	// pieceTimeout is the time without a further piece after which a state with missing pieces gives way to another one with the same records.
	pieceTimeout = time.Second
)

// assembly collects the pieces of one state. Pieces that are lost come again after a later heartbeat of this node; those that have arrived are kept.
type assembly struct {
	// head is a piece without data: what all pieces of the state have in common.
	head modeler.StatePiece
	// pieces are in the order of their index; nil if they are missing.
	pieces [][]byte
	// missing is the number of pieces that are missing, and size the sum of the others in bytes.
	missing, size int
	lastAt        time.Time
}

// belongs reports whether a piece is one of the state that is collected. Packings against different bases cannot be mixed.
func (a *assembly) belongs(piece modeler.StatePiece) bool {
	return a.head.State == piece.State && a.head.Base == piece.Base && a.head.Count == piece.Count
}

// add adds a piece, and reports whether it was the last one missing. A piece of a newer state replaces what was collected.
func (a *assembly) add(now time.Time, piece modeler.StatePiece) bool {
	if piece.Count < 1 || piece.Count > maxPieces || piece.Index < 0 || piece.Index >= piece.Count || len(piece.Data) == 0 {
		return false
	}
	if !a.belongs(piece) || a.missing == 0 && now.Sub(a.lastAt) >= pieceTimeout {
		if piece.Next <= a.head.Next && now.Sub(a.lastAt) < pieceTimeout {
			return false
		}
		*a = assembly{head: piece, pieces: make([][]byte, piece.Count), missing: piece.Count}
	}
	if a.missing == 0 || a.pieces[piece.Index] != nil || a.size+len(piece.Data) > maxPackedBytes {
		return false
	}
	a.pieces[piece.Index], a.lastAt = piece.Data, now
	a.missing, a.size = a.missing-1, a.size+len(piece.Data)
	return a.missing == 0
}

// handlePiece collects a piece of the operators' records, and has them unpacked when all pieces have arrived. A difference from records that this node does
// not hold is ignored: its next heartbeat says what it holds.
func (s *System) handlePiece(tick *modeler.Tick, world *modeler.World, piece modeler.StatePiece) {
	current := s.operators.state
	newer := piece.Next > max(current.Next, world.NextOffsets[modeler.Operators]) || piece.Version > current.Version
	if !newer || piece.Base != 0 && piece.Base != current.ID {
		return
	}
	if !s.incoming.add(tick.Now, piece) {
		return
	}
	effect := modeler.UnpackState{
		State: piece.State, Next: piece.Next, Packed: bytes.Join(s.incoming.pieces, nil), ConfirmedAt: tick.Now.Add(-piece.Age),
	}
	if piece.Base != 0 {
		effect.Base = current
	}
	s.incoming.pieces = nil
	tick.Emit(effect)
}
