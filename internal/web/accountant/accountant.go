// Package accountant accounts for the memory and the connections that a process holds for its clients, and decides which connections give way when
// they are short. It knows no protocol: a connection is charged before memory is held for it, and what is charged returns on every way out.
package accountant

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"damaskpick.example/damaskpick/internal/control/tabler"
)

// ErrShort is returned when memory is short and no other connection can give way for it.
var ErrShort = errors.New("memory for clients is short")

const (
	// ConnectionBytes is the memory of an open connection that carries no request: its goroutine and the buffers of the server. It is not charged;
	// Options.Connections bounds it.
	ConnectionBytes = 16 << 10
	// addressFraction is the fraction of the memory that the connections of one address may hold.
	addressFraction = 0.5
	// giveWayTimeout bounds the wait for the memory of connections that were asked to give way. They return it once their handler has ended.
	giveWayTimeout = time.Second
)

// HoldID identifies an open connection. The IDs of an account ascend.
type HoldID uint64

// Options configures an Account.
type Options struct {
	// Bytes is the memory that all connections together may hold, and Connections the number of them; both must be positive.
	Bytes       int64
	Connections int
	Now         func() time.Time
	// OnEnded, if set, is called for each connection that is asked to give way.
	OnEnded func(Row)
}

// Account accounts for the connections of a process. It is safe for concurrent use.
type Account struct {
	options Options
	total   *semaphore.Weighted
	// ended counts the connections that were asked to give way, and refused the charges that were not possible.
	ended, refused atomic.Int64

	mu   sync.Mutex
	rows *tabler.Table[HoldID, Row]
	// holds has the hold of each row.
	holds map[HoldID]*Hold
	// shares has a row for each address with an open connection.
	shares map[string]*share
	last   HoldID
	held   int64
	// leaving is the number of rows with Ended set.
	leaving int
}

// share is the part of the account that the connections of an address may hold.
type share struct {
	free        *semaphore.Weighted
	held        int64
	connections int
}

// New returns an account without connections.
func New(options Options) *Account {
	return &Account{
		options: options, total: semaphore.NewWeighted(options.Bytes), rows: tabler.NewTable[HoldID, Row](), holds: map[HoldID]*Hold{},
		shares: map[string]*share{},
	}
}

// Usage is the state of an account.
type Usage struct {
	// Held is the number of bytes charged and Capacity the largest possible one. Connections is the number of open connections.
	Held, Capacity int64
	Connections    int
	// Ended is the number of connections so far that were asked to give way, Refused that of charges that were not possible.
	Ended, Refused int64
}

// Usage returns the state of the account.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{
		Held: a.held, Capacity: a.options.Bytes, Connections: a.rows.Len(), Ended: a.ended.Load(), Refused: a.refused.Load(),
	}
}

// Hold is the account of one connection. Its methods must not be called after its clean-up function. Enter, Charge, Read and Begin must not be
// called concurrently with each other.
type Hold struct {
	account *Account
	id      HoldID
	address string
	share   *share
	// received is the number of bytes of the current body that were read.
	received atomic.Int64
	// ended is set once the connection was asked to give way in its phase.
	ended atomic.Bool

	// endMu is held while end is called or replaced. It is locked without the account's lock.
	endMu sync.Mutex
	end   func()
	// phases counts the phases that have begun. An end of an earlier phase is not called any more.
	phases int
}

// Open adds a connection from an address. end must make the connection give way: it may be called once per phase, from any goroutine, and must not
// block. Open does not block either. It returns ErrShort if too many connections are open and none can give way. The clean-up function removes
// the connection and returns all that is charged for it.
func (a *Account) Open(address string, end func()) (*Hold, func(), error) {
	a.mu.Lock()
	var giving []HoldID
	if a.rows.Len()-a.leaving >= a.options.Connections {
		giving = choose(StoodTime{}, a.options.Now(), a.rows, 0, 1, func(Row) bool { return true })
		if giving == nil {
			a.mu.Unlock()
			a.refused.Add(1)
			return nil, nil, ErrShort
		}
	}
	a.last++
	h := &Hold{account: a, id: a.last, address: address, end: end}
	if h.share = a.shares[address]; h.share == nil {
		h.share = &share{free: semaphore.NewWeighted(a.addressBytes())}
		a.shares[address] = h.share
	}
	h.share.connections++
	a.rows.Put(h.id, Row{Address: address, Since: a.options.Now()})
	a.holds[h.id] = h
	ends := a.markEnded(giving)
	a.mu.Unlock()
	callAll(ends)
	return h, sync.OnceFunc(h.close), nil
}

// addressBytes is the memory that the connections of an address may hold.
func (a *Account) addressBytes() int64 {
	return max(int64(addressFraction*float64(a.options.Bytes)), 1)
}

// markEnded marks connections as asked to give way and returns their end functions. The caller holds mu.
func (a *Account) markEnded(ids []HoldID) []func() {
	ends := make([]func(), 0, len(ids))
	for _, id := range ids {
		row, _ := a.rows.Get(id)
		a.rows.Put(id, row.WithEnded())
		a.leaving++
		a.ended.Add(1)
		h := a.holds[id]
		h.ended.Store(true)
		ends = append(ends, func() { h.giveWay(row) })
		if a.options.OnEnded != nil {
			ends = append(ends, func() { a.options.OnEnded(row) })
		}
	}
	return ends
}

// giveWay calls the connection's end function unless the phase of the row has ended.
func (h *Hold) giveWay(row Row) {
	h.endMu.Lock()
	defer h.endMu.Unlock()
	if h.phases == row.phases {
		h.end()
	}
}

func callAll(functions []func()) {
	for _, f := range functions {
		f()
	}
}

// close returns all that is charged for the connection and removes it.
func (h *Hold) close() {
	h.set(0)
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if row, _ := a.rows.Get(h.id); row.Ended {
		a.leaving--
	}
	a.rows.Delete(h.id)
	delete(a.holds, h.id)
	if h.share.connections--; h.share.connections == 0 && a.shares[h.address] == h.share {
		delete(a.shares, h.address)
	}
}

// Ended reports whether the connection was asked to give way.
func (h *Hold) Ended() bool { return h.ended.Load() }

// Begin begins a phase. end replaces the function that makes the connection give way, unless it is nil.
func (h *Hold) Begin(phase Phase, end func()) {
	h.endMu.Lock()
	defer h.endMu.Unlock()
	h.phases++
	if end != nil {
		h.end = end
	}
	h.received.Store(0)
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	row, _ := a.rows.Get(h.id)
	if row.Ended {
		a.leaving--
	}
	h.ended.Store(false)
	a.rows.Put(h.id, row.WithPhase(phase, a.options.Now()))
}

// Enter begins a phase, like Begin, and sets the bytes that are held for it, like Charge. It is faster than both while memory is not short.
func (h *Hold) Enter(ctx context.Context, phase Phase, bytes int64, end func()) error {
	h.endMu.Lock()
	h.phases++
	if end != nil {
		h.end = end
	}
	h.received.Store(0)
	a := h.account
	a.mu.Lock()
	row, _ := a.rows.Get(h.id)
	if row.Ended {
		a.leaving--
	}
	h.ended.Store(false)
	row = row.WithPhase(phase, a.options.Now())
	target := min(bytes, a.addressBytes())
	more := target - row.Held
	entered := more <= 0 || h.share.free.TryAcquire(more)
	if entered && more > 0 && !a.total.TryAcquire(more) {
		h.share.free.Release(more)
		entered = false
	}
	if entered {
		row = row.WithHeld(target)
		a.held += more
		h.share.held += more
	}
	a.rows.Put(h.id, row)
	a.mu.Unlock()
	h.endMu.Unlock()
	if entered && more < 0 {
		h.share.free.Release(-more)
		a.total.Release(-more)
	}
	if entered {
		return nil
	}
	return h.Charge(ctx, bytes)
}

// Read records that n more bytes of a body were read.
func (h *Hold) Read(n int) { h.received.Add(int64(n)) }

// Charge sets the bytes that are held for the connection. If that takes more memory than is free, other connections give way, and Charge waits for
// their memory. It returns ErrShort if they do not suffice or ctx ends first; the charge is unchanged then. What exceeds the memory
// of an address is charged as that memory, so that a request of any size can be held while there are no others. A smaller charge never fails.
func (h *Hold) Charge(ctx context.Context, bytes int64) error {
	a := h.account
	a.mu.Lock()
	row, _ := a.rows.Get(h.id)
	a.mu.Unlock()
	bytes = min(bytes, a.addressBytes())
	more := bytes - row.Held
	if more <= 0 {
		h.set(bytes)
		return nil
	}
	sameAddress := func(other Row) bool { return other.Address == h.address }
	if err := h.acquire(ctx, h.share.free, more, func() int64 { return a.addressBytes() - h.share.held }, sameAddress); err != nil {
		return err
	}
	all := func(Row) bool { return true }
	if err := h.acquire(ctx, a.total, more, func() int64 { return a.options.Bytes - a.held }, all); err != nil {
		h.share.free.Release(more)
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	row, _ = a.rows.Get(h.id)
	a.rows.Put(h.id, row.WithHeld(bytes))
	a.held += more
	h.share.held += more
	return nil
}

// acquire takes bytes from a semaphore and makes eligible connections give way if they are not free. free returns the bytes that are not charged;
// it is called with the lock held.
func (h *Hold) acquire(ctx context.Context, from *semaphore.Weighted, bytes int64, free func() int64, eligible func(Row) bool) error {
	if from.TryAcquire(bytes) {
		return nil
	}
	a := h.account
	a.mu.Lock()
	for id, hold := range a.holds {
		if row, _ := a.rows.Get(id); row.Phase == Reading {
			a.rows.Put(id, row.WithReceived(hold.received.Load()))
		}
	}
	giving := choose(HeldTime{}, a.options.Now(), a.rows, h.id, max(bytes-max(free(), 0), 1), eligible)
	ends := a.markEnded(giving)
	a.mu.Unlock()
	if len(ends) == 0 && !h.awaitsMemory(eligible) {
		a.refused.Add(1)
		return ErrShort
	}
	callAll(ends)
	ctx, cancel := context.WithTimeout(ctx, giveWayTimeout)
	defer cancel()
	if err := from.Acquire(ctx, bytes); err != nil {
		a.refused.Add(1)
		return ErrShort
	}
	return nil
}

// awaitsMemory reports whether an eligible connection that was asked to give way has not returned its memory yet.
func (h *Hold) awaitsMemory(eligible func(Row) bool) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, row := range a.rows.All() {
		if row.Ended && row.Held > 0 && eligible(row) {
			return true
		}
	}
	return false
}

// set lowers the bytes that are held for the connection.
func (h *Hold) set(bytes int64) {
	a := h.account
	a.mu.Lock()
	row, _ := a.rows.Get(h.id)
	less := row.Held - bytes
	if less > 0 {
		a.rows.Put(h.id, row.WithHeld(bytes))
		a.held -= less
		h.share.held -= less
	}
	a.mu.Unlock()
	if less > 0 {
		h.share.free.Release(less)
		a.total.Release(less)
	}
}
