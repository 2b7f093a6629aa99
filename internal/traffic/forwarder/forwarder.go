// Package forwarder runs callers' requests: it asks the control loop for an endpoint, passes the response on, asks for another endpoint
// after a failure, and reports the end of every request to the control loop. It does not depend on a front end: requests are passed in
// as values and tokens are delivered through a callback.
package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Control is the part of the control loop that the forwarder uses.
type Control interface {
	// Ask sends a RequestArrived or RetryRequested event and waits for the decision.
	Ask(ctx context.Context, event modeler.Event) (modeler.Decision, error)
	// AskCall sends the event and waits for the decision about a non-idempotent call.
	AskCall(ctx context.Context, event modeler.CallArrived) (modeler.CallDecision, error)
	// Post sends an event to which there is no reply. It must not block for long.
	Post(event modeler.Event)
	// Snapshot returns the newest published state, or nil before the first tick of the control loop.
	Snapshot() *modeler.Snapshot
}

// Engines opens streams at model engines. A failure of the endpoint is an *EndpointError; an error of another type is treated like one
// with Died set.
type Engines interface {
	// Open returns when the response header has arrived, before the engine processes the prompt.
	Open(ctx context.Context, grant modeler.Grant, prompt Prompt) (Stream, error)
	// Cancel makes the engine stop the attempt and free its memory. It is idempotent.
	Cancel(ctx context.Context, grant modeler.Grant) error
}

// Stream is the response of an engine to one attempt. It must not be used by several goroutines.
type Stream interface {
	// BootID identifies the start of the engine's process that responds.
	BootID() string
	// Cold reports whether the engine states that it is in cold start.
	Cold() bool
	// Next returns the next chunk. It returns io.EOF only after an end marker with a matching token count. It returns another error
	// when the context given to Open ends or the engine sends nothing for too long.
	Next() (Chunk, error)
	// Close ends the connection.
	Close()
}

// Services calls plain services.
type Services interface {
	// Call sends the call once. ran is false only if no byte of the call was sent.
	Call(ctx context.Context, grant modeler.Grant, call ServiceCall) (answer ServiceResponse, ran bool, err error)
}

// Observer receives measurements. Its methods are called concurrently.
type Observer interface {
	// FirstToken is called once per request, with the time from arrival.
	FirstToken(class modeler.LengthClass, after time.Duration)
	// TokenGap is called for each chunk after the first, with the time since the previous one.
	TokenGap(class modeler.LengthClass, gap time.Duration)
	// Ended is called once per request.
	Ended(summary Summary)
}

// Options configure a Forwarder. Control, Engines and Services are required.
type Options struct {
	Control  Control
	Engines  Engines
	Services Services
	// Observer may be nil.
	Observer Observer
	// RequestTimeout bounds the duration of a request; zero means DefaultRequestTimeout.
	RequestTimeout time.Duration
	Log            zerolog.Logger
	// Now is time.Now unless a test replaces it.
	Now func() time.Time
}

// DefaultRequestTimeout is long enough for the prefill of a prompt of a million tokens.
const DefaultRequestTimeout = 10 * time.Minute

// cancelTimeout bounds one cancel request to an engine. The control loop repeats the request for attempts that the engine still lists.
const cancelTimeout = time.Second

// Forwarder runs callers' requests. It is safe for concurrent use.
type Forwarder struct {
	Options
	cancels sync.WaitGroup
	// latestEnd is the time that EndBy has set, or nil.
	latestEnd atomic.Pointer[time.Time]
}

// New returns a Forwarder with the defaults for unset options.
func New(options Options) *Forwarder {
	if options.Observer == nil {
		options.Observer = nopObserver{}
	}
	if options.RequestTimeout <= 0 {
		options.RequestTimeout = DefaultRequestTimeout
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Forwarder{Options: options}
}

// Wait waits for the cancel requests that run in the background. It must be called after the last request has ended.
func (f *Forwarder) Wait() { f.cancels.Wait() }

// EndBy sets the latest deadline of the requests that arrive from now on. A stopping node sets it so that each of them gets an answer.
func (f *Forwarder) EndBy(at time.Time) { f.latestEnd.Store(&at) }

// deadline returns the time by which a request that arrived now must have ended. A positive timeout applies if it is shorter than
// RequestTimeout.
func (f *Forwarder) deadline(now time.Time, timeout time.Duration) time.Time {
	if timeout <= 0 || timeout > f.RequestTimeout {
		timeout = f.RequestTimeout
	}
	deadline := now.Add(timeout)
	if latest := f.latestEnd.Load(); latest != nil && latest.Before(deadline) {
		return *latest
	}
	return deadline
}

type nopObserver struct{}

func (nopObserver) FirstToken(modeler.LengthClass, time.Duration) {}
func (nopObserver) TokenGap(modeler.LengthClass, time.Duration)   {}
func (nopObserver) Ended(Summary)                                 {}
