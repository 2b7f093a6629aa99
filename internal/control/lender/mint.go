package lender

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/ranker"
)

// rankDelay is how much longer each node waits than the node ranked before it, so that not all of them mint the same version at
// once.
const rankDelay = time.Second

// idleMintInterval is how often a version that changes no cap is checked again.
const idleMintInterval = time.Hour

// mint is how far this node has come with minting a rule version. Minting appends one Minted record, which changes the total of
// tokens of each member to its cap under that version.
type mint struct {
	version modeler.Version
	// appendAt is when the record is appended next.
	appendAt time.Time
}

// mintRules appends the cap changes of the rules in force, again after each timeout, until a record of their version is read back.
func (s *System) mintRules(tick *modeler.Tick, world *modeler.World) {
	version := world.Rules.Version
	self, _ := world.Nodes.Get(world.Self.ID)
	if version <= s.accounts.version || s.accounts.trimmed || !self.Live() || s.leaving {
		return
	}
	if s.mint.version != version {
		nodes := append([]modeler.NodeID{world.Self.ID}, s.lendingPeers...)
		rank := slices.Index(ranker.Rank("mint/"+strconv.FormatInt(int64(version), 10), nodes), world.Self.ID)
		s.mint = mint{version: version, appendAt: tick.Now.Add(time.Duration(rank) * rankDelay)}
	}
	if tick.Now.Before(s.mint.appendAt) {
		tick.WakeAt(s.mint.appendAt)
		return
	}
	s.mint.appendAt = tick.Now.Add(appendTimeout)
	changes := s.changes(world.Rules)
	if len(changes) == 0 {
		// There is nothing to mint until the rules change or a Minted record resets s.mint.
		s.mint.appendAt = tick.Now.Add(idleMintInterval)
		return
	}
	tick.WakeAt(s.mint.appendAt)
	tick.Emit(modeler.AppendRecord{Stream: modeler.StreamControl, Record: modeler.Minted{
		Version: version, Base: s.accounts.version, By: world.Self.ID, Changes: changes,
	}})
}

// changes returns the caps under rules minus the minted totals, for the members where they differ, sorted by member.
func (s *System) changes(rules modeler.Rules) []modeler.Balance {
	caps := make(map[modeler.MemberID]modeler.Tokens, len(rules.Shares))
	for _, share := range rules.Shares {
		caps[share.Member] = share.Cap(rules.Fleet)
	}
	var changes []modeler.Balance
	for id, amount := range caps {
		if amount != s.accounts.caps[id] {
			changes = append(changes, modeler.Balance{Member: id, Amount: amount - s.accounts.caps[id]})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.accounts.caps)) {
		if _, ok := caps[id]; !ok && s.accounts.caps[id] != 0 {
			changes = append(changes, modeler.Balance{Member: id, Amount: -s.accounts.caps[id]})
		}
	}
	slices.SortFunc(changes, func(a, b modeler.Balance) int { return compare(a.Member, b.Member) })
	return changes
}
