package simulator

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// WeightsOptions configure the weight store stand-in.
type WeightsOptions struct {
	// Sizes maps a model to the size of its weights in bytes; other models are answered with 404.
	Sizes map[string]int
	// Rate is the maximum number of fetches per second over all models; zero means no limit. Burst is how many fetches may arrive at
	// once; it defaults to 1.
	Rate  float64
	Burst int
}

// WeightsFaults are the faults that the weight store stand-in injects. POST /faults replaces all of them, GET /faults returns them.
type WeightsFaults struct {
	// Outage answers fetches with 503.
	Outage bool
	// SlowMs delays the response to every fetch by this many milliseconds.
	SlowMs int
}

// NewWeights returns a stand-in of the weight store and a function that stops it. GET /weights/{model} returns the model's name repeated
// up to the configured size, or 429 with Retry-After when the rate is exceeded.
func NewWeights(options WeightsOptions) (http.Handler, func()) {
	limit := rate.Inf
	if options.Rate > 0 {
		limit = rate.Limit(options.Rate)
	}
	state := &weightsState{limiter: rate.NewLimiter(limit, max(options.Burst, 1))}
	h := &weightsHandler{loop: startLoop(state.tick), sizes: options.Sizes}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}", h.get)
	mux.HandleFunc("POST /faults", h.setFaults)
	mux.HandleFunc("GET /faults", h.getFaults)
	return mux, h.loop.stop
}

// weightsRequest replaces the faults if they are set, counts one fetch against the rate if fetch is set
// and there is no outage, and returns the faults.
type weightsRequest struct {
	fetch  bool
	faults *WeightsFaults
	reply  chan<- weightsResult
}

type weightsResult struct {
	faults WeightsFaults
	// retryAfter is zero when the fetch is within the rate.
	retryAfter time.Duration
}

type weightsState struct {
	limiter *rate.Limiter
	faults  WeightsFaults
}

func (s *weightsState) tick(now time.Time, events []weightsRequest) time.Time {
	for _, e := range events {
		if e.faults != nil {
			s.faults = *e.faults
		}
		result := weightsResult{faults: s.faults}
		if e.fetch && !s.faults.Outage {
			result.retryAfter = s.reserveFetch(now)
		}
		e.reply <- result
	}
	return time.Time{}
}

// reserveFetch counts one fetch against the rate. If the rate is exceeded, it counts nothing and returns the time until a fetch is allowed.
func (s *weightsState) reserveFetch(now time.Time) time.Duration {
	reservation := s.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay > 0 {
		reservation.CancelAt(now)
	}
	return delay
}

type weightsHandler struct {
	loop  *loop[weightsRequest]
	sizes map[string]int
}

func (h *weightsHandler) ask(w http.ResponseWriter, r *http.Request, request weightsRequest) (weightsResult, bool) {
	reply := make(chan weightsResult, 1)
	request.reply = reply
	result, err := ask(r.Context(), h.loop, request, reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return result, false
	}
	return result, true
}

func (h *weightsHandler) get(w http.ResponseWriter, r *http.Request) {
	model := r.PathValue("model")
	size, known := h.sizes[model]
	if !known {
		http.NotFound(w, r)
		return
	}
	result, ok := h.ask(w, r, weightsRequest{fetch: true})
	if !ok {
		return
	}
	pause(r.Context(), h.loop.quit, milliseconds(result.faults.SlowMs))
	switch {
	case result.faults.Outage:
		refuse(w, http.StatusServiceUnavailable)
	case result.retryAfter > 0:
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(result.retryAfter.Seconds()))))
		http.Error(w, "over the rate", http.StatusTooManyRequests)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(size))
		// A failed write means that the client is gone.
		_, _ = w.Write([]byte(strings.Repeat(model, size/len(model)+1)[:size]))
	}
}

func (h *weightsHandler) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults WeightsFaults
	if !readJSON(w, r, &faults) {
		return
	}
	if result, ok := h.ask(w, r, weightsRequest{faults: &faults}); ok {
		writeJSON(w, result.faults)
	}
}

func (h *weightsHandler) getFaults(w http.ResponseWriter, r *http.Request) {
	if result, ok := h.ask(w, r, weightsRequest{}); ok {
		writeJSON(w, result.faults)
	}
}
