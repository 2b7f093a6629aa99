package accountant_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/web/accountant"
)

// clock is a time that tests advance.
type clock struct{ nanoseconds atomic.Int64 }

func (c *clock) now() time.Time           { return time.Unix(0, c.nanoseconds.Load()) }
func (c *clock) advance(by time.Duration) { c.nanoseconds.Add(int64(by)) }

// TestBalance guards against memory that is not returned, or returned twice, on some order of charges, phases, refusals, connections that give way and
// ends: the account would fill up, or admit more than its limit.
func TestBalance(t *testing.T) {
	const most = 1000
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{}
		account := accountant.New(accountant.Options{Bytes: most, Connections: 6, Now: c.now})
		type open struct {
			hold  *accountant.Hold
			close func()
		}
		conns := map[int]open{}
		// A cancelled context makes Charge return at once where it would wait for connections that give way.
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.advance(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			id := rapid.IntRange(0, 7).Draw(t, "connection")
			conn, isOpen := conns[id]
			if !isOpen {
				hold, closeHold, err := account.Open(fmt.Sprintf("10.0.0.%d", id%3), func() {})
				assert.Assert(t, err == nil || errors.Is(err, accountant.ErrShort))
				if err == nil {
					conns[id] = open{hold, closeHold}
				}
				continue
			}
			switch rapid.IntRange(0, 4).Draw(t, fmt.Sprint("action ", step)) {
			case 0:
				conn.hold.Begin(accountant.Phase(rapid.IntRange(0, 2).Draw(t, "phase")), func() {})
			case 1, 2:
				_ = conn.hold.Charge(cancelled, int64(rapid.IntRange(0, 2*most).Draw(t, "bytes")))
			case 3:
				conn.hold.Read(rapid.IntRange(0, most).Draw(t, "read"))
			default:
				conn.close()
				conn.close() // Handlers that panic may clean up twice.
				delete(conns, id)
			}
			usage := account.Usage()
			assert.Assert(t, usage.Held >= 0 && usage.Held <= most, "%+v", usage)
		}
		for _, conn := range conns {
			conn.close()
		}
		usage := account.Usage()
		assert.Assert(t, usage.Held == 0 && usage.Connections == 0, "%+v", usage)
		// All of it can be charged again by two addresses.
		for i := range 2 {
			hold, closeHold, err := account.Open(fmt.Sprint(i), func() {})
			assert.NilError(t, err)
			defer closeHold()
			assert.NilError(t, hold.Charge(cancelled, most/2))
		}
	})
}

// TestGiveWay guards against a crowd that keeps ordinary callers out, and against ending connections that move, that are being served or that hold
// little.
func TestGiveWay(t *testing.T) {
	const most = 8 << 20
	type conn struct {
		address  string
		phase    accountant.Phase
		held     int64
		received int
		age      time.Duration
	}
	tests := []struct {
		name  string
		conns []conn
		// from is the address of the connection that charges bytes.
		from  string
		bytes int64
		ended []int
		err   error
	}{
		{name: "nothing is short", conns: []conn{{"a", accountant.Reading, 1 << 20, 0, time.Minute}}, from: "b", bytes: 1 << 20},
		{
			name: "a body that stands gives way before one that moves", from: "c", bytes: 1 << 20, ended: []int{1},
			conns: []conn{{"a", accountant.Reading, 4 << 20, 4 << 20, 4 * time.Second}, {"b", accountant.Reading, 4 << 20, 4 << 20, 10 * time.Second}},
		},
		{
			name: "the one that holds more gives way", from: "c", bytes: 1 << 20, ended: []int{0},
			conns: []conn{{"a", accountant.Reading, 4 << 20, 0, 10 * time.Second}, {"b", accountant.Reading, 2 << 20, 0, 11 * time.Second}, {"d", accountant.Reading, 2 << 20, 0, 11 * time.Second}},
		},
		{
			name: "several give way", from: "c", bytes: 2 << 20, ended: []int{0, 1},
			conns: []conn{{"a", accountant.Reading, 1 << 20, 0, 10 * time.Second}, {"a", accountant.Reading, 1 << 20, 0, 9 * time.Second}, {"a", accountant.Reading, 2 << 20, 0, time.Second}, {"b", accountant.Reading, 4 << 20, 4 << 20, 4 * time.Second}},
		},
		{
			name: "requests that are served do not give way", from: "c", bytes: 1 << 20, err: accountant.ErrShort,
			conns: []conn{{"a", accountant.Serving, 4 << 20, 0, time.Minute}, {"b", accountant.Serving, 4 << 20, 0, time.Minute}},
		},
		{
			name: "an address that has its share gives way to itself", from: "a", bytes: 1 << 20, ended: []int{0},
			conns: []conn{{"a", accountant.Reading, 4 << 20, 0, time.Second}, {"b", accountant.Reading, 3 << 20, 0, time.Minute}},
		},
		{name: "a body larger than all is charged what there is", from: "a", bytes: 1 << 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &clock{}
			account := accountant.New(accountant.Options{Bytes: most, Connections: 10, Now: c.now})
			begin := time.Hour
			c.advance(begin)
			var mu sync.Mutex
			var ended []int
			for i, conn := range tt.conns {
				hold, closeHold, err := account.Open(conn.address, func() {})
				assert.NilError(t, err)
				c.advance(-conn.age)
				hold.Begin(conn.phase, func() {
					mu.Lock()
					defer mu.Unlock()
					ended = append(ended, i)
					closeHold()
				})
				c.advance(conn.age)
				assert.NilError(t, hold.Charge(t.Context(), conn.held))
				hold.Read(conn.received)
			}
			hold, closeHold, err := account.Open(tt.from, func() {})
			assert.NilError(t, err)
			defer closeHold()
			hold.Begin(accountant.Reading, nil)
			assert.ErrorIs(t, hold.Charge(t.Context(), tt.bytes), tt.err)
			assert.DeepEqual(t, ended, tt.ended)
		})
	}
}

// TestConnections guards against connections without a request that use up the descriptors, and against closing one that is being served for another.
func TestConnections(t *testing.T) {
	c := &clock{}
	account := accountant.New(accountant.Options{Bytes: 1 << 20, Connections: 2, Now: c.now})
	var ended []string
	open := func(name string) (*accountant.Hold, error) {
		hold, closeHold, err := account.Open("a", func() { ended = append(ended, name) })
		if err == nil {
			t.Cleanup(closeHold)
		}
		return hold, err
	}
	first, err := open("first")
	assert.NilError(t, err)
	c.advance(time.Second)
	second, err := open("second")
	assert.NilError(t, err)
	c.advance(time.Second)
	first.Begin(accountant.Serving, nil)
	_, err = open("third")
	assert.NilError(t, err)
	assert.DeepEqual(t, ended, []string{"second"})
	assert.Assert(t, second.Ended() && !first.Ended())
	third, err := open("fourth")
	assert.NilError(t, err)
	assert.DeepEqual(t, ended, []string{"second", "third"})
	third.Begin(accountant.Serving, nil)
	_, err = open("fifth")
	assert.ErrorIs(t, err, accountant.ErrShort)
}
