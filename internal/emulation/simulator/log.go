package simulator

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"damaskpick.example/damaskpick/internal/control/tabler"
)

const (
	// maxRecordBytes has room for a rule file of 1 MiB after JSON escaping.
	maxRecordBytes = 4 << 20
	// maxReadRecords is the maximum number of records in one response.
	maxReadRecords = 10_000
	// maxReadWait is the maximum duration of a long poll.
	maxReadWait = time.Minute
	// maxAdminBytes is the maximum body size of POST /faults and POST /instances.
	maxAdminBytes = 1 << 20
)

// LogOptions configure the log stand-in.
type LogOptions struct {
	// Retention is how long a record is kept; zero means no limit.
	Retention time.Duration
	// MaxRecords is the maximum number of records kept in a stream; zero means no limit.
	MaxRecords int
	// AppendRate is the maximum number of appends per second over all streams; zero means no limit. Burst is how many appends may
	// arrive at once; it defaults to AppendRate.
	AppendRate float64
	Burst      int
}

// NewLog returns a stand-in of the append-only log and a function that stops it. The protocol is described in docs/design.md, section 15.
// Stopping ends waiting reads and discards delayed appends that are still pending.
func NewLog(options LogOptions) (http.Handler, func()) {
	state := newLogState(options)
	l := &logHandler{loop: startLoop(state.tick)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}/records", l.append)
	mux.HandleFunc("GET /streams/{name}/records", l.read)
	mux.HandleFunc("POST /faults", l.setFaults)
	mux.HandleFunc("GET /faults", l.getFaults)
	return mux, l.loop.stop
}

type logHandler struct{ loop *loop[logEvent] }

func (l *logHandler) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	reply := make(chan appendResult, 1)
	request := appendRequest{client: clientOf(r), stream: r.PathValue("name"), data: data, reply: reply}
	result, err := ask(r.Context(), l.loop, logEvent(request), reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	pause(r.Context(), l.loop.quit, result.delay)
	if result.ackLost {
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	if refuse(w, result.status) {
		return
	}
	writeJSON(w, struct{ Offset int64 }{result.offset})
}

func (l *logHandler) read(w http.ResponseWriter, r *http.Request) {
	from, errFrom := queryInt(r, "from", 1)
	limit, errLimit := queryInt(r, "limit", 100)
	wait, errWait := queryInt(r, "wait", 0)
	if errFrom != nil || errLimit != nil || errWait != nil || limit < 1 || wait < 0 {
		http.Error(w, "from, limit and wait must be whole numbers", http.StatusBadRequest)
		return
	}
	reply := make(chan readResult, 1)
	request := readRequest{
		client: clientOf(r), stream: r.PathValue("name"), from: from, limit: int(min(limit, maxReadRecords)),
		waitUntil: time.Now().Add(min(time.Duration(wait)*time.Millisecond, maxReadWait)), reply: reply,
	}
	result, err := ask(r.Context(), l.loop, logEvent(request), reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	pause(r.Context(), l.loop.quit, result.delay)
	if !refuse(w, result.status) {
		writeJSON(w, result.page)
	}
}

func (l *logHandler) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults LogFaults
	if !readJSON(w, r, &faults) {
		return
	}
	l.faults(w, r, &faults)
}

func (l *logHandler) getFaults(w http.ResponseWriter, r *http.Request) { l.faults(w, r, nil) }

func (l *logHandler) faults(w http.ResponseWriter, r *http.Request, replacement *LogFaults) {
	reply := make(chan LogFaults, 1)
	result, err := ask(r.Context(), l.loop, logEvent(faultsRequest{replacement: replacement, reply: reply}), reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, result)
}

// refuse sends an error response for every status except 200 and reports whether it sent one.
func refuse(w http.ResponseWriter, status int) bool {
	switch status {
	case http.StatusOK:
		return false
	case http.StatusTooManyRequests:
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, http.StatusText(status), status)
	return true
}

// queryInt parses a query parameter as an integer. It returns defaultValue if the parameter is missing or empty.
func queryInt(r *http.Request, name string, defaultValue int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

func newLogState(options LogOptions) *logState {
	limit, burst := rate.Inf, 0
	if options.AppendRate > 0 {
		limit, burst = rate.Limit(options.AppendRate), max(options.Burst, 1)
		if options.Burst == 0 {
			burst = max(int(options.AppendRate), 1)
		}
	}
	return &logState{
		options: options,
		limiter: rate.NewLimiter(limit, burst),
		streams: tabler.NewTable[string, stream](),
		appends: tabler.NewTable[uint64, pendingAppend](),
		reads:   tabler.NewTable[uint64, pendingRead](),
		due:     tabler.NewTimeline[uint64](),
	}
}
