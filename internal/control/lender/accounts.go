package lender

import (
	"slices"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// unownedAccount is the account of nodes that left when no other node was registered. The next node that registers gets it.
const unownedAccount modeler.NodeID = ""

// accounts are the balances that follow from the control stream. Every node computes the same accounts from the same records. A
// live node holds its account plus the amounts received from live peers minus those sent to them; the flows with peers that are
// gone are part of the account.
type accounts struct {
	// held is the account of each node.
	held map[modeler.NodeID]map[modeler.MemberID]modeler.Tokens
	// accountNode is the account node of each member: the node to which all changes of the member's cap are credited, so that a raise
	// pays off the debt of an earlier reduction.
	accountNode map[modeler.MemberID]modeler.NodeID
	// caps is the minted total of each member.
	caps map[modeler.MemberID]modeler.Tokens
	// reductionOffset is the offset of the last record that reduced the cap of a member.
	reductionOffset map[modeler.MemberID]int64
	// version is the rule version minted last.
	version modeler.Version
	// offset is the offset of the last record applied.
	offset int64
	// trimmed is set if the first record read was not the first of the stream. The accounts are then incomplete.
	trimmed bool
}

func newAccounts() *accounts {
	return &accounts{
		held:            map[modeler.NodeID]map[modeler.MemberID]modeler.Tokens{},
		accountNode:     map[modeler.MemberID]modeler.NodeID{},
		caps:            map[modeler.MemberID]modeler.Tokens{},
		reductionOffset: map[modeler.MemberID]int64{},
	}
}

// add adds amount to the account of a node.
func (a *accounts) add(node modeler.NodeID, id modeler.MemberID, amount modeler.Tokens) {
	if amount == 0 {
		return
	}
	if a.held[node] == nil {
		a.held[node] = map[modeler.MemberID]modeler.Tokens{}
	}
	a.held[node][id] += amount
	if a.held[node][id] == 0 {
		delete(a.held[node], id)
	}
}

// merge moves the accounts of nodes to node to. It returns the nonzero sums moved, sorted by member, and the members whose account
// node changed.
func (a *accounts) merge(nodes []modeler.NodeID, to modeler.NodeID) (sums []modeler.Balance, moved []modeler.MemberID) {
	total := map[modeler.MemberID]modeler.Tokens{}
	for _, node := range nodes {
		for id, amount := range a.held[node] {
			total[id] += amount
		}
		delete(a.held, node)
	}
	for id, amount := range total {
		a.add(to, id, amount)
		if amount != 0 {
			sums = append(sums, modeler.Balance{Member: id, Amount: amount})
		}
	}
	for id, node := range a.accountNode {
		if slices.Contains(nodes, node) {
			a.accountNode[id] = to
			moved = append(moved, id)
		}
	}
	slices.SortFunc(sums, func(x, y modeler.Balance) int { return compare(x.Member, y.Member) })
	slices.Sort(moved)
	return sums, moved
}

// addFlows adds the flows between node, which is about to be removed, and its peers to the accounts. With sign 1, a positive balance
// is an amount that the peer sent to node; with sign -1, an amount that node sent to the peer.
func (a *accounts) addFlows(node modeler.NodeID, balances []modeler.Balance, sign modeler.Tokens) {
	for _, b := range balances {
		a.add(node, b.Member, sign*b.Amount)
		a.add(b.Peer, b.Member, -sign*b.Amount)
	}
}

// mint applies a Minted record and reports whether it took effect.
func (a *accounts) mint(offset int64, record modeler.Minted) bool {
	if record.Version <= a.version || (record.Base != a.version && !a.trimmed) {
		return false
	}
	a.version = record.Version
	for _, change := range record.Changes {
		id := change.Member
		if _, ok := a.accountNode[id]; !ok {
			a.accountNode[id] = record.By
		}
		a.caps[id] += change.Amount
		a.add(a.accountNode[id], id, change.Amount)
		if change.Amount < 0 {
			a.reductionOffset[id] = offset
		}
	}
	return true
}

func compare(a, b modeler.MemberID) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}
