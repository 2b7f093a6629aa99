package responder

import "time"

// EngineFaults is the body of POST /faults of an engine. Zero fields change nothing; pointer fields that are present are set even if zero.
type EngineFaults struct {
	// Crash resets all connections and boots again, cold, with a new boot ID. New connections are refused for DownMs.
	Crash  bool
	DownMs milliseconds
	// Cold begins a cold start with the same boot ID. Later responses report it; responses of running requests don't.
	Cold bool
	// Silent makes all open connections silent permanently; new connections work.
	Silent bool
	// LateMs is the delay of the response headers of later requests.
	LateMs *milliseconds
	// Crossed is the number of upcoming streams whose chunks carry another attempt's ID after two tokens.
	Crossed int
	// CutShort is the number of upcoming streams that end after two tokens without an end mark.
	CutShort int
	// Dropped is the number of upcoming streams that omit their second token and are otherwise well formed.
	Dropped int
	// LoadLagMs is the age of load reports; LoadStopped freezes them.
	LoadLagMs   *milliseconds
	LoadStopped *bool
	// Slow multiplies the duration of steps; 1 is normal.
	Slow *float64
	// CacheGap omits every cache event whose sequence number is a multiple of it; 0 omits none. CacheDelayMs is the age of cache events.
	CacheGap     *int64
	CacheDelayMs *milliseconds
}

// streamFault is the fault injected into one stream.
type streamFault uint8

const (
	noFault streamFault = iota
	wrongID
	truncated
	droppedToken
)

// faultState holds the faults in effect. It is immutable; the goroutine that owns the engine replaces it. wrongID, truncated and
// droppedToken count the upcoming streams with that fault.
type faultState struct {
	headerDelay  time.Duration
	wrongID      int
	truncated    int
	droppedToken int
	loadLag      time.Duration
	loadStopped  bool
	cacheGap     int64
	cacheDelay   time.Duration
}

// withFaults returns a copy with the requested faults applied.
func (s faultState) withFaults(f EngineFaults) faultState {
	s.wrongID += f.Crossed
	s.truncated += f.CutShort
	s.droppedToken += f.Dropped
	setIfPresent(&s.headerDelay, f.LateMs)
	setIfPresent(&s.loadLag, f.LoadLagMs)
	setIfPresent(&s.cacheDelay, f.CacheDelayMs)
	if f.LoadStopped != nil {
		s.loadStopped = *f.LoadStopped
	}
	if f.CacheGap != nil {
		s.cacheGap = *f.CacheGap
	}
	return s
}

// withFaultConsumed returns the fault of the next stream and a copy that counts one stream fewer for it.
func (s faultState) withFaultConsumed() (faultState, streamFault) {
	switch {
	case s.wrongID > 0:
		s.wrongID--
		return s, wrongID
	case s.truncated > 0:
		s.truncated--
		return s, truncated
	case s.droppedToken > 0:
		s.droppedToken--
		return s, droppedToken
	default:
		return s, noFault
	}
}

// setIfPresent sets field to value unless value is nil.
func setIfPresent(field *time.Duration, value *milliseconds) {
	if value != nil {
		*field = value.duration()
	}
}
