package simulator

import (
	"slices"
	"time"
)

// record is one record in a response. Data is base64 in JSON.
type record struct {
	Offset int64
	Time   time.Time
	Data   []byte
}

// page is the response to a read. First is the oldest offset kept and Next the offset of the next append.
type page struct {
	First   int64
	Next    int64
	Records []record
}

// stream is the state of one log stream. Records are only appended at the end and dropped at the start, so copies of a stream may share
// the backing array.
type stream struct {
	next    int64
	records []record
}

func newStream() stream { return stream{next: 1} }

// first returns the oldest offset kept, or the next offset if no record is kept.
func (s stream) first() int64 { return s.next - int64(len(s.records)) }

// withRecord returns a copy with one more record.
func (s stream) withRecord(data []byte, now time.Time) stream {
	s.records = append(s.records, record{Offset: s.next, Time: now, Data: data})
	s.next++
	return s
}

// withoutOld returns a copy with at most the count newest records, without those appended before oldest. A count of zero means no limit.
func (s stream) withoutOld(count int, oldest time.Time) stream {
	if count > 0 && len(s.records) > count {
		s.records = s.records[len(s.records)-count:]
	}
	if start := slices.IndexFunc(s.records, func(r record) bool { return !r.Time.Before(oldest) }); start >= 0 {
		s.records = s.records[start:]
	} else {
		s.records = nil
	}
	return s
}

// read returns at most limit records, starting at the offset from or at the oldest record kept after it.
func (s stream) read(from int64, limit int) page {
	start := min(max(from-s.first(), 0), int64(len(s.records)))
	end := min(start+int64(limit), int64(len(s.records)))
	records := s.records[start:end]
	if records == nil {
		records = []record{}
	}
	return page{First: s.first(), Next: s.next, Records: records}
}

// hasResult reports whether a read from an offset need not wait, because it returns a record or because records were dropped.
func (s stream) hasResult(from int64) bool { return from < s.next || from < s.first() }
