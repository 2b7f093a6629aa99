package simulator

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"damaskpick.example/damaskpick/internal/control/tabler"
)

// logEvent is a request to the log's state.
type logEvent interface{ logEvent() }

type appendRequest struct {
	client client
	stream string
	data   []byte
	reply  chan<- appendResult
}

type readRequest struct {
	client client
	stream string
	from   int64
	limit  int
	// waitUntil is when a read without records is answered.
	waitUntil time.Time
	reply     chan<- readResult
}

// faultsRequest returns the faults, after replacing them if replacement is set.
type faultsRequest struct {
	replacement *LogFaults
	reply       chan<- LogFaults
}

func (appendRequest) logEvent() {}
func (readRequest) logEvent()   {}
func (faultsRequest) logEvent() {}

type appendResult struct {
	status int
	offset int64
	// ackLost is set when the append took effect but the connection must be closed instead of answered.
	ackLost bool
	// delay is how long to wait before the response.
	delay time.Duration
}

type readResult struct {
	status int
	page   page
	// delay is how long to wait before the response.
	delay time.Duration
}

// pendingAppend is an append that has not taken effect yet.
type pendingAppend struct {
	request appendRequest
	ackLost bool
	delay   time.Duration
}

// pendingRead is a read that has not been answered yet.
type pendingRead struct {
	request readRequest
	delay   time.Duration
}

// logState holds the tables of the log. Only the loop's goroutine accesses it.
type logState struct {
	options LogOptions
	faults  LogFaults
	limiter *rate.Limiter
	streams *tabler.Table[string, stream]
	appends *tabler.Table[uint64, pendingAppend]
	reads   *tabler.Table[uint64, pendingRead]
	// due holds when pending appends take effect and when pending reads are answered even without a record.
	due    *tabler.Timeline[uint64]
	lastID uint64
}

// tick runs the systems of the log in a fixed order and returns when the next tick is due.
func (s *logState) tick(now time.Time, events []logEvent) time.Time {
	s.accept(now, events)
	due := s.due.Due(now)
	s.applyAppends(now, due)
	s.trim(now)
	s.answerReads(due)
	next, _ := s.due.Next()
	return next
}

// accept replaces the faults, refuses requests because of an outage or the append rate, and puts the others into the tables.
func (s *logState) accept(now time.Time, events []logEvent) {
	for _, event := range events {
		s.lastID++
		switch e := event.(type) {
		case appendRequest:
			s.acceptAppend(now, e)
		case readRequest:
			if s.faults.outageAffects(e.client) {
				e.reply <- readResult{status: http.StatusServiceUnavailable, delay: milliseconds(s.faults.SlowMs)}
				continue
			}
			s.reads.Put(s.lastID, pendingRead{request: e, delay: milliseconds(s.faults.SlowMs)})
			s.due.Set(s.lastID, e.waitUntil)
		case faultsRequest:
			if e.replacement != nil {
				s.faults = *e.replacement
			}
			e.reply <- s.faults
		}
	}
}

func (s *logState) acceptAppend(now time.Time, e appendRequest) {
	delay := milliseconds(s.faults.SlowMs)
	if s.faults.outageAffects(e.client) {
		e.reply <- appendResult{status: http.StatusServiceUnavailable, delay: delay}
		return
	}
	if !s.limiter.AllowN(now, 1) {
		e.reply <- appendResult{status: http.StatusTooManyRequests, delay: delay}
		return
	}
	row := pendingAppend{request: e, delay: delay}
	s.faults, row.ackLost = s.faults.withLostAck()
	at := now
	var late bool
	if s.faults, late = s.faults.withLateAppend(); late {
		at = now.Add(milliseconds(s.faults.LateMs))
	}
	s.appends.Put(s.lastID, row)
	s.due.Set(s.lastID, at)
}

// applyAppends appends the records of the pending appends that are due, and answers them.
func (s *logState) applyAppends(now time.Time, due []uint64) {
	for _, id := range due {
		row, ok := s.appends.Get(id)
		if !ok {
			continue
		}
		s.appends.Delete(id)
		old := s.stream(row.request.stream)
		s.streams.Put(row.request.stream, old.withRecord(row.request.data, now))
		row.request.reply <- appendResult{status: http.StatusOK, offset: old.next, ackLost: row.ackLost, delay: row.delay}
	}
	s.appends.Changed()
}

// trim drops records that exceed the retention or the maximum number of records.
func (s *logState) trim(now time.Time) {
	oldest := time.Time{}
	if s.options.Retention > 0 {
		oldest = now.Add(-s.options.Retention)
	}
	for name, row := range s.streams.All() {
		if trimmed := row.withoutOld(s.options.MaxRecords, oldest); trimmed.first() != row.first() {
			s.streams.Put(name, trimmed)
		}
	}
	s.streams.Changed()
}

// answerReads answers the pending reads that have a result or whose wait is over. During an outage it answers the reads of the affected
// clients with 503.
func (s *logState) answerReads(due []uint64) {
	timedOut := make(map[uint64]bool, len(due))
	for _, id := range due {
		timedOut[id] = true
	}
	for id, row := range s.reads.All() {
		source := s.stream(row.request.stream)
		switch {
		case s.faults.outageAffects(row.request.client):
			row.request.reply <- readResult{status: http.StatusServiceUnavailable, delay: row.delay}
		case timedOut[id] || source.hasResult(row.request.from):
			row.request.reply <- readResult{status: http.StatusOK, page: source.read(row.request.from, row.request.limit), delay: row.delay}
		default:
			continue
		}
		s.reads.Delete(id)
		s.due.Clear(id)
	}
	s.reads.Changed()
}

// stream returns the named stream, which is empty if nothing was appended to it.
func (s *logState) stream(name string) stream {
	if row, ok := s.streams.Get(name); ok {
		return row
	}
	return newStream()
}
