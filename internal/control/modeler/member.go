package modeler

// Member is this node's portion of a member's share. It is a row of World.Members.
type Member struct {
	ID MemberID
	// Cap is the member's total share over all nodes under the rules in force.
	Cap Tokens
	// Balance is the portion of the cap that this node holds. It is never negative, and the sum of the balances of all nodes and
	// the transfers in flight never exceeds the minted total.
	Balance Tokens
	// Used is the amount charged for requests of this node. It never exceeds Balance.
	Used Tokens
	// Debt is the amount that remains to be paid off, that is removed from the balances, after the cap was reduced.
	Debt Tokens
	// Wanted is the total cost of the queued requests that could not be charged, less the transfers received since it was set. This
	// node tries to borrow it.
	Wanted Tokens
	// Frozen is set after a reduction of the cap until the member's account node reports that the debt is paid off. Requests cannot
	// be charged to a frozen member here, and its free balance is transferred to the account node. See Minted for account nodes.
	Frozen bool
	// MintedVersion is the newest rule version whose change of the member's cap this node has applied. A node that is not the
	// member's account node applies only reductions.
	MintedVersion Version
}

// Free returns the unused portion of the balance.
func (m Member) Free() Tokens { return m.Balance - m.Used }

// WithCap returns a copy with Cap set to limit.
func (m Member) WithCap(limit Tokens) Member {
	m.Cap = limit
	return m
}

// WithCharge returns a copy with amount charged, and whether the charge was possible. It returns m unchanged if the member is frozen or
// the free balance is less than amount.
func (m Member) WithCharge(amount Tokens) (Member, bool) {
	if m.Frozen || amount > m.Free() {
		return m, false
	}
	m.Used += amount
	return m, true
}

// WithRefund returns a copy with the charge reduced by amount, but not below zero. The balance that becomes free is first used to pay
// off the debt.
func (m Member) WithRefund(amount Tokens) Member {
	m.Used -= min(amount, m.Used)
	return m.WithDebt(0)
}

// WithCredit returns a copy with amount used to pay off the debt and the remainder added to the balance.
func (m Member) WithCredit(amount Tokens) Member {
	paidOff := min(amount, m.Debt)
	m.Debt -= paidOff
	m.Balance += amount - paidOff
	return m
}

// WithDebit returns a copy with amount subtracted from the balance, and whether the free balance covered it. It returns m unchanged if
// not.
func (m Member) WithDebit(amount Tokens) (Member, bool) {
	if amount > m.Free() {
		return m, false
	}
	m.Balance -= amount
	return m, true
}

// WithDebt returns a copy with amount added to the debt, which is paid off immediately as far as the free balance covers it.
func (m Member) WithDebt(amount Tokens) Member {
	m.Debt += amount
	paidOff := min(m.Debt, m.Free())
	m.Debt -= paidOff
	m.Balance -= paidOff
	return m
}

// WithWanted returns a copy with Wanted set to amount.
func (m Member) WithWanted(amount Tokens) Member {
	m.Wanted = amount
	return m
}

// WithFrozen returns a copy with Frozen set to frozen.
func (m Member) WithFrozen(frozen bool) Member {
	m.Frozen = frozen
	return m
}

// WithMintedVersion returns a copy with MintedVersion set to version.
func (m Member) WithMintedVersion(version Version) Member {
	m.MintedVersion = version
	return m
}
