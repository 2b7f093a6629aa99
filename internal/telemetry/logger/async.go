package logger

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// asyncLines is the number of lines that are buffered while the output is slow.
	asyncLines = 2048
	// reportInterval is the interval at which the number of dropped lines is logged.
	reportInterval = time.Second
	// LinesDropped is the message of the line that reports dropped lines. Its field Count is their number.
	LinesDropped = "LinesDropped"
)

// Async writes lines in a separate goroutine, so that a slow output does not block callers. Lines of the writer that Ordinary returns are
// limited to a rate; those above the rate, and all lines that arrive while the buffer is full, are dropped. The log reports their number.
type Async struct {
	out io.Writer
	// rate is the maximum number of rate-limited lines per second.
	rate  int
	lines chan []byte
	done  chan struct{}

	mu sync.Mutex
	// second is the current Unix second, and used is the number of rate-limited lines in it.
	second  int64
	used    int
	dropped int
	closed  bool
}

// NewAsync returns a writer that limits the lines of Ordinary to rate per second, and a function that writes the buffered lines and stops
// the writer.
func NewAsync(out io.Writer, rate int) (*Async, func()) {
	a := &Async{out: out, rate: rate, lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go a.run()
	return a, a.close
}

// Write implements io.Writer for lines that are not rate-limited. They are dropped only while the buffer is full.
func (a *Async) Write(line []byte) (int, error) {
	a.enqueue(line, false)
	return len(line), nil
}

// Ordinary returns a writer for rate-limited lines.
func (a *Async) Ordinary() io.Writer { return limitedWriter{a} }

type limitedWriter struct{ async *Async }

func (w limitedWriter) Write(line []byte) (int, error) {
	w.async.enqueue(line, true)
	return len(line), nil
}

func (a *Async) enqueue(line []byte, limited bool) {
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
			// A failed write to the log cannot be logged.
			_, _ = a.out.Write(line)
		case now := <-ticker.C:
			a.reportDropped(now)
		}
	}
}

func (a *Async) reportDropped(now time.Time) {
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
