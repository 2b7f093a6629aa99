package logger

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// asyncLines is the number of lines that may wait for a slow reader of the log.
	asyncLines = 2048
	// reportInterval is how often dropped lines are counted in the log.
	reportInterval = time.Second
	// LinesDropped is the message of the line that counts them, in its field Count.
	LinesDropped = "LinesDropped"
)

// Async writes lines on a goroutine of its own, so that a slow reader of the log delays nothing. Lines beyond a rate, or for which there is
// no room, are dropped and counted in the log.
type Async struct {
	out io.Writer
	// rate is the number of ordinary lines per second.
	rate  int
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	second  int64
	used    int
	dropped int
	closed  bool
}

// NewAsync returns a writer that passes on at most rate ordinary lines a second, and a function that writes what waits and ends it.
func NewAsync(out io.Writer, rate int) (*Async, func()) {
	a := &Async{out: out, rate: rate, lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go a.run()
	return a, a.close
}

// Write implements io.Writer for lines that are always kept while there is room.
func (a *Async) Write(line []byte) (int, error) {
	a.put(line, false)
	return len(line), nil
}

// Ordinary returns a writer for lines that count against the rate.
func (a *Async) Ordinary() io.Writer { return ordinary{a} }

type ordinary struct{ async *Async }

func (o ordinary) Write(line []byte) (int, error) {
	o.async.put(line, true)
	return len(line), nil
}

func (a *Async) put(line []byte, limited bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	if now := time.Now().Unix(); now != a.second {
		a.second, a.used = now, 0
	}
	if limited {
		if a.used >= a.rate {
			a.dropped++
			return
		}
		a.used++
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped++
	}
}

func (a *Async) run() {
	defer close(a.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line, ok := <-a.lines:
			if !ok {
				return
			}
			// There is no place to report that the log cannot be written.
			_, _ = a.out.Write(line)
		case now := <-ticker.C:
			a.report(now)
		}
	}
}

func (a *Async) report(now time.Time) {
	a.mu.Lock()
	dropped := a.dropped
	a.dropped = 0
	a.mu.Unlock()
	if dropped > 0 {
		_, _ = fmt.Fprintf(a.out, "time=%s level=warn message=%s Count=%d\n", now.Format(timeFormat), LinesDropped, dropped)
	}
}

func (a *Async) close() {
	a.mu.Lock()
	a.closed = true
	close(a.lines)
	a.mu.Unlock()
	<-a.done
}
