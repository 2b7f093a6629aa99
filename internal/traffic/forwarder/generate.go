package forwarder

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Generate runs a generation and passes each chunk to deliver, in order and from the calling goroutine. No token is repeated or dropped
// when the response continues on another engine. The error is nil for a complete response, a *RefusedError, or ErrCallerGone if ctx was
// cancelled or deliver failed.
func (f *Forwarder) Generate(ctx context.Context, generation Generation, deliver func(Chunk) error) (Usage, error) {
	now := f.Now()
	deadline := f.deadline(now, generation.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	run := &generationRun{
		Forwarder: f, generation: generation, deliver: deliver, arrived: now,
		promptTokens: CountTokens(generation.Text),
	}
	// Initial value for the deferred function: if deliver panics, the request is reported as incomplete.
	err := ErrCallerGone
	defer func() {
		f.Control.Post(modeler.RequestEnded{Request: generation.Request, Completed: err == nil})
		f.reportEnd(run.summary(err))
	}()
	err = run.execute(ctx, deadline)
	return Usage{Prompt: run.promptTokens, Completion: run.delivered, FinishReason: run.finish}, err
}

// generationRun is the state of one generation. It is not safe for concurrent use.
type generationRun struct {
	*Forwarder
	generation   Generation
	deliver      func(Chunk) error
	arrived      time.Time
	promptTokens modeler.Tokens

	// text is the text delivered to the caller so far; delivered is its number of tokens.
	text      strings.Builder
	delivered modeler.Tokens
	finish    string
	// failedGrants counts the grants that ended with a failure; attempts counts the grants for which a stream was requested.
	failedGrants int
	attempts     int
	lastAttempt  modeler.AttemptID
	// sent is set once a byte may have been sent to an endpoint.
	sent       bool
	firstToken time.Duration
	lastToken  time.Time
}

func (r *generationRun) execute(ctx context.Context, deadline time.Time) error {
	decision, err := r.Control.Ask(ctx, modeler.RequestArrived{Request: r.request(deadline)})
	for {
		if err != nil {
			return noDecisionError(ctx, r.sent)
		}
		if decision.Grant == nil {
			return refusedDecision(decision, r.sent)
		}
		failure := r.attempt(ctx, *decision.Grant)
		if failure == nil || errors.Is(failure, ErrCallerGone) {
			return failure
		}
		if miscounted(failure) {
			return miscountedError()
		}
		if r.delivered >= r.generation.MaxTokens {
			// All requested tokens were delivered; only the end of the stream is missing.
			r.finish = FinishLength
			return nil
		}
		if ctx.Err() != nil {
			return noDecisionError(ctx, r.sent)
		}
		if r.failedGrants++; r.failedGrants >= maxGrants {
			return tooManyGrants(r.sent)
		}
		decision, err = r.Control.Ask(ctx, modeler.RetryRequested{
			Request: r.generation.Request, Delivered: r.delivered, Died: died(failure), NotSent: notSent(failure),
		})
	}
}

func (r *generationRun) request(deadline time.Time) modeler.Request {
	g := r.generation
	return modeler.Request{
		ID: g.Request, Member: g.Member, Target: g.Model, Kind: modeler.Engine,
		Prompt: r.promptTokens, MaxOutput: g.MaxTokens,
		PrefixHash:  prefixHash(g.Model, g.Text),
		Fingerprint: fingerprint(g.Member, g.Model, g.Text),
		ArrivedAt:   r.arrived, Deadline: deadline,
	}
}

// errPermitExpired is the failure of a grant whose permit is at least modeler.FenceTimeout old. Nothing was sent.
var errPermitExpired = &EndpointError{NotSent: true, Err: errors.New("permit is older than the fence timeout")}

// attempt sends the request to the endpoint of a grant. It returns nil for a complete response, ErrCallerGone, or the failure of the
// attempt.
func (r *generationRun) attempt(ctx context.Context, grant modeler.Grant) error {
	if r.Now().Sub(grant.PermitAt) >= modeler.FenceTimeout {
		return errPermitExpired
	}
	r.attempts++
	r.lastAttempt = grant.Attempt
	err := r.stream(ctx, grant)
	if err == nil {
		return nil
	}
	r.logFailure(r.generation.Request, grant, err)
	if notSent(err) {
		return err
	}
	r.sent = true
	if ctx.Err() != nil || errors.Is(err, ErrCallerGone) {
		// The attempt is cancelled before the end is reported to the control loop, so that the engine's memory is free by then, unless the
		// engine does not respond.
		r.cancel(ctx, grant)
		return callerGoneError(ctx, err)
	}
	// Cancelling in the background does not delay the attempt at the next endpoint.
	r.cancels.Go(func() { r.cancel(ctx, grant) })
	return err
}

// callerGoneError returns ErrCallerGone if the caller disconnected, and otherwise err: a passed deadline remains a failure of the attempt.
func callerGoneError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ErrCallerGone
	}
	return err
}

// stream opens a stream at an engine and delivers its chunks until it ends.
func (r *generationRun) stream(ctx context.Context, grant modeler.Grant) error {
	stream, err := r.Engines.Open(ctx, grant, Prompt{
		Model:     r.generation.Model,
		Text:      r.generation.Text + r.text.String(),
		MaxTokens: r.generation.MaxTokens - r.delivered,
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	r.sent = true
	r.Control.Post(modeler.AttemptConfirmed{Attempt: grant.Attempt, BootID: stream.BootID(), Cold: stream.Cold()})
	first, finish := true, ""
	for {
		chunk, err := stream.Next()
		switch {
		case errors.Is(err, io.EOF) && finish != "":
			r.finish = finish
			return nil
		case errors.Is(err, io.EOF):
			return &EndpointError{Err: errors.New("stream ended without a finish reason")}
		case err != nil:
			return err
		}
		if chunk.FinishReason != "" {
			finish = chunk.FinishReason
		}
		if chunk.Tokens == 0 {
			continue
		}
		if first {
			first = false
			r.Control.Post(modeler.FirstTokenSeen{Attempt: grant.Attempt})
		}
		if err := r.deliverChunk(chunk); err != nil {
			return err
		}
	}
}

// deliverChunk delivers a chunk with tokens. It leaves out the finish reason, which is reported only after the stream ended completely.
func (r *generationRun) deliverChunk(chunk Chunk) error {
	if r.delivered+chunk.Tokens > r.generation.MaxTokens {
		return &EndpointError{Err: errors.New("engine sent more tokens than requested")}
	}
	now, class := r.Now(), modeler.ClassOf(r.promptTokens)
	if r.delivered == 0 {
		r.firstToken = now.Sub(r.arrived)
		r.Observer.FirstToken(class, r.firstToken)
	} else {
		r.Observer.TokenGap(class, now.Sub(r.lastToken))
	}
	r.lastToken = now
	r.text.WriteString(chunk.Text)
	r.delivered += chunk.Tokens
	if err := r.deliver(Chunk{Text: chunk.Text, Tokens: chunk.Tokens}); err != nil {
		return errors.Join(ErrCallerGone, err)
	}
	return nil
}

func (r *generationRun) summary(err error) Summary {
	return Summary{
		Request: r.generation.Request, Member: r.generation.Member, Kind: modeler.Engine, Class: modeler.ClassOf(r.promptTokens),
		Code: codeOf(err), FirstToken: r.firstToken, Duration: r.Now().Sub(r.arrived), Delivered: r.delivered, Attempts: r.attempts, LastAttempt: r.lastAttempt,
	}
}

// cancel makes the engine stop an attempt, also if ctx has ended.
func (f *Forwarder) cancel(ctx context.Context, grant modeler.Grant) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	if err := f.Engines.Cancel(ctx, grant); err != nil {
		f.Log.Warn().Str("attempt", string(grant.Attempt)).Str("endpoint", string(grant.Endpoint)).Err(err).Msg("cancel failed")
	}
}

func (f *Forwarder) logFailure(request modeler.RequestID, grant modeler.Grant, err error) {
	f.Log.Info().Str("request", string(request)).Str("attempt", string(grant.Attempt)).
		Str("endpoint", string(grant.Endpoint)).Bool("died", died(err)).Err(err).Msg("attempt failed")
}

// reportEnd logs a request that ended and passes its summary to the observer.
func (f *Forwarder) reportEnd(s Summary) {
	f.Log.Info().Str("request", string(s.Request)).Str("member", string(s.Member)).Str("attempt", string(s.LastAttempt)).Str("class", s.Class.String()).
		Str("code", string(s.Code)).Stringer("firstToken", s.FirstToken).Stringer("duration", s.Duration).
		Int64("tokens", int64(s.Delivered)).Int("attempts", s.Attempts).Msg("request ended")
	f.Observer.Ended(s)
}

// died reports whether the endpoint broke the connection or refused it. Errors of unknown types count as such.
func died(err error) bool {
	var failure *EndpointError
	return !errors.As(err, &failure) || failure.Died
}

func miscounted(err error) bool {
	var failure *EndpointError
	return errors.As(err, &failure) && failure.Miscounted
}

func notSent(err error) bool {
	var failure *EndpointError
	return errors.As(err, &failure) && failure.NotSent
}

// prefixBytes is the length of the prefix that is hashed for prefix cache affinity: 1,024 tokens.
const prefixBytes = 1024 * bytesPerToken

func prefixHash(model, text string) uint64 {
	return hash(model, text[:min(len(text), prefixBytes)])
}

func fingerprint(member modeler.MemberID, parts ...string) uint64 {
	return hash(append([]string{string(member)}, parts...)...)
}

// hash returns a hash of its parts. They are separated by a zero byte, so that moving bytes from one part to another changes the result.
func hash(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
