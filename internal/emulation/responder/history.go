package responder

import (
	"net/http"
	"time"
)

// historyLimit is the maximum number of starts, and of boots, in a history.
const historyLimit = 20_000

// startRecord describes an accepted request.
type startRecord struct {
	Attempt string
	Node    string
	BootID  string
	// Cold reports whether the request was accepted during a cold start.
	Cold bool
	At   time.Time
}

// bootRecord describes a boot. Cause is why the previous boot ended; it is empty for the first boot.
type bootRecord struct {
	BootID string
	Cause  string
	At     time.Time
}

// history lists the accepted requests and the boots of an engine, oldest first. It spans boots because tests check all of them.
type history struct {
	Starts []startRecord
	Boots  []bootRecord
}

func (h history) withStart(s startRecord) history {
	h.Starts = appendBounded(h.Starts, s)
	return h
}

func (h history) withBoot(b bootRecord) history {
	h.Boots = appendBounded(h.Boots, b)
	return h
}

// appendBounded appends a record, first dropping the oldest half when historyLimit is reached. Copies of a history may share records,
// which never change.
func appendBounded[T any](records []T, record T) []T {
	if len(records) >= historyLimit {
		records = append([]T(nil), records[historyLimit/2:]...)
	}
	return append(records, record)
}

// readHistory requests the history.
type readHistory struct{ reply chan<- history }

func (m readHistory) apply(o *owner, _ time.Time) { m.reply <- o.history }

// listHistory handles GET /history.
func (e *Engine) listHistory(w http.ResponseWriter, r *http.Request) {
	h, ok := ask(e, r, func(reply chan<- history) message { return readHistory{reply: reply} })
	if !ok {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, h)
}
