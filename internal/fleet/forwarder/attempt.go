package forwarder

import (
	"context"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"syscall"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/dialer"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/web/checker"
)

const (
	// maxBufferedBytes bounds the part of an answer that is kept until the answer is complete. With a limit of 8 MB, 48 endless answers at a time
	// took 800 MB.
	maxBufferedBytes = 64 << 10
	// maxAnswerBytes bounds an answer that is not a stream. Bytes that are no answer may come without end.
	maxAnswerBytes = 8 << 20
	// maxEventBytes bounds one event of a stream, which is kept until it is complete.
	maxEventBytes = 256 << 10
	// An engine counts as silent after the stream's target, but at least minSilenceLimit, plus silenceFactor times the expected time to the
	// first event. silenceFactor is high because sending a long prompt twice costs more than waiting for an engine that has failed.
	silenceFactor = 1.5
	// minSilenceLimit is the shortest time after which an engine counts as silent. With shorter times, requests were sent twice when engines
	// were loaded. Longer times would leave too little time for a retry, because callers of short prompts disconnect after 2 s.
	minSilenceLimit = 1300 * time.Millisecond
	// A stream may pause for pauseGaps times the route's gap target plus pauseMargin before the guard looks for another engine to resume it.
	// maxPauseFraction bounds this to a fraction of the time after which the caller disconnects.
	pauseMargin      = time.Second
	pauseGaps        = 2
	maxPauseFraction = 0.8
	// A safe call whose endpoint has not responded after targetFactor times the route's target is sent to another endpoint.
	targetFactor = 2.5
)

// attempt sends the call to one endpoint and forwards the answer.
func (f *Forwarder) attempt(ctx context.Context, p *progress, plan modeler.Plan, sink Sink) (outcome modeler.Outcome) {
	id := f.request(p).ID
	p.attempts++
	p.sentAt, p.faultyHelper, p.succeeded, p.borrows, p.tokens = time.Now(), "", false, false, 0
	p.result.Endpoint, p.result.Helpers = plan.Endpoint.ID, len(plan.Helpers)
	defer func() {
		f.Control.Post(modeler.AttemptEnded{ID: id, Outcome: outcome, FaultyEngine: p.faultyHelper, Succeeded: p.succeeded, Tokens: p.tokens})
		if outcome == modeler.Unreachable || outcome == modeler.Silent || outcome == modeler.Misdirected {
			f.Pool.CloseIdle(plan.Endpoint.Address)
		}
	}()
	reserved, err := f.reserve(ctx, id, plan)
	if err != nil {
		return f.classifyError(ctx, p, err, modeler.Shed)
	}
	defer reserved.release()
	exchange, err := f.Pool.Send(ctx, plan.Endpoint.Address, f.outgoing(p, plan, reserved))
	if err != nil {
		var failed dialer.SendError
		if errors.As(err, &failed) && failed.Sent {
			p.reached++
			f.countPossibleRun(p)
			return f.classifyError(ctx, p, err, modeler.Broken)
		}
		return f.classifyError(ctx, p, err, modeler.Unreachable)
	}
	p.reached++
	p.connections = append(p.connections, exchange.ConnID())
	complete := false
	defer func() { exchange.Close(complete) }()
	guard := f.guard(p, id, exchange.Abort, f.silenceLimit(p, plan))
	defer func() {
		guard.stop()
		guard.wait()
		if p.nextDecision = guard.replacement(); p.nextDecision != nil {
			p.countedRetries++
		}
	}()
	response, err := exchange.ReadResponse(p.call.Method, max(time.Until(p.deadline), time.Millisecond), func(header http.Header) bool {
		answeredID := f.Protocol.ResponseFields(0, header).RequestID
		return answeredID == "" || answeredID == p.call.Fields.ID
	})
	if err != nil {
		f.countPossibleRun(p)
		return f.classifyReadError(ctx, p, guard, err)
	}
	fields := f.Protocol.ResponseFields(response.StatusCode, response.Header)
	if fields.RequestID != p.call.Fields.ID && exchange.Reused() {
		// Without an id, it may be a late copy of the response to an earlier request on the connection.
		f.countPossibleRun(p)
		return f.rejectAnswer(p, NoRequestID, nil)
	}
	if !fields.Misdirected && (!fields.Notice.Empty() || f.Control.Snapshot().Limited[plan.Endpoint.ID]) {
		f.Control.Post(modeler.EndpointResponded{Endpoint: plan.Endpoint, Notice: fields.Notice, SentAt: p.sentAt})
	}
	if fields.NotRun {
		complete = exchange.Drain(response)
		p.faultyHelper = findHelper(plan, fields.FaultyEngine)
		if fields.Misdirected && p.faultyHelper == "" {
			return modeler.Misdirected
		}
		return modeler.Shed
	}
	if response.Header.Get("Content-Encoding") != "" {
		f.countPossibleRun(p)
		return f.rejectAnswer(p, EncodedAnswer, nil)
	}
	if response.StatusCode < 300 && !fields.Signed {
		f.countPossibleRun(p)
		return f.rejectAnswer(p, UnsignedAnswer, nil)
	}
	if p.headerSent && !p.continues(response) {
		// The caller has received part of the stream from another engine. Forwarding this answer would put the text of an error into the stream, or
		// end it as if it were complete.
		f.countPossibleRun(p)
		complete = exchange.Drain(response)
		return modeler.Failed
	}
	if p.call.Route.Kind == modeler.Stream && response.StatusCode < 300 {
		outcome, complete = f.forwardStream(ctx, p, id, guard, response, sink)
		return outcome
	}
	outcome, complete = f.forwardWhole(ctx, p, guard, response, sink)
	return outcome
}

// continues reports whether a response may go on with a stream that another engine has begun.
func (p *progress) continues(response *dialer.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return response.StatusCode == p.streamStatus && (err != nil || mediaType == eventStreamType || mediaType == p.streamType)
}

// eventStreamType is the media type of streams.
const eventStreamType = "text/event-stream"

// findHelper returns the helper of the plan that has the given id or address, or "" if there is none.
func findHelper(plan modeler.Plan, name string) modeler.EndpointID {
	for _, h := range plan.Helpers {
		if name != "" && (name == string(h.ID) || name == h.Address) {
			return h.ID
		}
	}
	return ""
}

// countPossibleRun counts an attempt in which the endpoint may have run the request. It also records that the answer was not forwarded.
func (f *Forwarder) countPossibleRun(p *progress) {
	p.possibleRuns++
	p.mayHaveRun = true
}

func (f *Forwarder) outgoing(p *progress, plan modeler.Plan, reserved *reservations) dialer.Outgoing {
	attempt := modeler.AttemptFields{
		Endpoint: plan.Endpoint.ID, Member: p.call.Member.ID, Timeout: time.Until(p.deadline), LastEvent: p.lastEventID,
		Helpers: reserved.helpers(plan),
	}
	return dialer.Outgoing{
		Method: p.call.Method, URI: p.call.URI, Host: p.call.Host, Header: f.Protocol.AttemptHeader(p.call.Header, attempt), Body: p.call.Body,
		MaxIdle: f.maxIdle(p.call.Service), Avoided: p.connections,
	}
}

// idleFraction is the fraction of an endpoint's connection limit that all nodes together may keep idle. The rest is left for connections in
// use.
const idleFraction = 0.5

// maxIdle returns this node's share of the idle connections to an endpoint, or zero if the service has no connection limit.
func (f *Forwarder) maxIdle(service modeler.Service) int {
	if service.ConnectionLimit <= 0 {
		return 0
	}
	nodes := max(len(f.Control.Snapshot().Alive), 1)
	return max(1, int(idleFraction*float64(service.ConnectionLimit)/float64(nodes)))
}

// silenceLimit returns how long the endpoint may take to begin its answer before the guard looks for another endpoint.
func (f *Forwarder) silenceLimit(p *progress, plan modeler.Plan) time.Duration {
	if !p.call.Route.Repeatable() || p.possibleRuns+1 >= p.call.Route.MaxRuns {
		return noLimit
	}
	limit := time.Duration(targetFactor * float64(p.call.Route.Target))
	if p.call.Route.Kind == modeler.Stream {
		limit = max(minSilenceLimit, p.call.Route.Target) + time.Duration(silenceFactor*float64(plan.TimeToFirstEvent))
	}
	return limit
}

// classifyError returns the outcome for a connection error. fallback is the outcome for errors without a more specific one. A timeout counts
// as Silent only if fallback is Broken, which means that the request may have reached the endpoint.
func (f *Forwarder) classifyError(ctx context.Context, p *progress, err error, fallback modeler.Outcome) modeler.Outcome {
	var netErr net.Error
	var headErr checker.HeadError
	waited := time.Since(p.sentAt)
	switch {
	case ctx.Err() != nil:
		return modeler.Abandoned
	case errors.Is(err, dialer.ErrForeignResponse):
		return f.rejectAnswer(p, ForeignAnswer, err)
	case errors.Is(err, dialer.ErrRequestUnwritten):
		f.reportInvalid(p, CutAnswer, err)
		return fallback
	case errors.As(err, &headErr) && fallback == modeler.Broken:
		return f.rejectAnswer(p, AnswerFault(headErr.Fault.String()), err)
	case errors.Is(err, syscall.ETIMEDOUT) && fallback == modeler.Broken:
		// The endpoint's host has acknowledged nothing for too long.
		return modeler.Silent
	case errors.As(err, &netErr) && netErr.Timeout() && fallback == modeler.Broken:
		if time.Until(p.deadline) < minAttemptTime && waited < time.Duration(targetFactor*float64(p.call.Route.Target)) {
			// The caller's timeout was too short to conclude anything about the endpoint.
			return modeler.Abandoned
		}
		return modeler.Silent
	default:
		return fallback
	}
}

// classifyReadError returns the outcome for an error while reading the answer. The engine was silent if the guard aborted the connection for
// another placement.
func (f *Forwarder) classifyReadError(ctx context.Context, p *progress, guard *silenceGuard, err error) modeler.Outcome {
	if guard.replacement() != nil && ctx.Err() == nil {
		return modeler.Silent
	}
	return f.classifyError(ctx, p, err, modeler.Broken)
}

// firstAnswerBytes is the space in bytes with which reading an answer begins. It doubles as the answer arrives.
const firstAnswerBytes = 2 << 10

// readWhole reads an answer to its end, or until it exceeds maxBufferedBytes or the memory of the node is short. It reports whether it has read the
// end.
func readWhole(ctx context.Context, memory Memory, response *dialer.Response) ([]byte, bool, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), firstAnswerBytes), maxBufferedBytes+1)
			if memory.Charge(ctx, int64(cap(body)+size)) != nil {
				return body, false, ctx.Err()
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBufferedBytes:
			return body, false, nil
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// forwardWhole forwards an answer that is not a stream after reading it completely, or as it arrives if it is too long for that.
func (f *Forwarder) forwardWhole(ctx context.Context, p *progress, guard *silenceGuard, response *dialer.Response, sink Sink) (modeler.Outcome, bool) {
	if response.Length > maxAnswerBytes {
		f.countPossibleRun(p)
		return f.rejectAnswer(p, LongAnswer, nil), false
	}
	body, whole, err := readWhole(ctx, p.call.Memory, response)
	if err != nil {
		f.countPossibleRun(p)
		return f.classifyReadError(ctx, p, guard, err), false
	}
	long := !whole
	if impliesNotRun(response.StatusCode) || long && response.StatusCode >= http.StatusInternalServerError {
		// The former statuses promise callers that the request did not run, but the endpoint did not state that. A long failure is not kept.
		f.countPossibleRun(p)
		return modeler.Failed, !long
	}
	if long {
		return f.forwardLong(ctx, p, guard, response, body, sink)
	}
	answer := &answer{status: response.StatusCode, header: endToEndHeader(response.Header), body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		// Another endpoint may succeed. If there is no retry or it gets no answer, the caller gets this failure.
		f.countPossibleRun(p)
		p.failedAnswer = answer
		return modeler.Failed, true
	}
	p.possibleRuns++
	p.succeeded = response.StatusCode < http.StatusMultipleChoices && !response.Unframed
	answer.deliver(p, sink)
	return modeler.Answered, true
}

// answer is a complete answer from an endpoint.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// deliver forwards the answer. If the caller has disconnected, the status becomes Left and the server closes the connection.
func (a *answer) deliver(p *progress, sink Sink) {
	p.headerSent = true
	p.result.Status, p.result.Code, p.result.First = Delivered, a.status, time.Since(p.call.Arrived)
	err := sink.Begin(a.status, a.header, len(a.body))
	if err == nil {
		_, err = sink.Write(a.body)
	}
	if err != nil {
		p.result.Status = Left
	}
}

// impliesNotRun reports whether callers take a status as a promise that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// endToEndHeader returns the header without the hop-by-hop fields and Content-Length.
func endToEndHeader(header http.Header) http.Header {
	endToEnd := make(http.Header, len(header))
	for name, values := range header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		default:
			endToEnd[name] = values
		}
	}
	return endToEnd
}

// forwardStream forwards events as they arrive. Only complete events are forwarded, so that another engine can resume after the last one.
func (f *Forwarder) forwardStream(
	ctx context.Context, p *progress, id modeler.RequestID, guard *silenceGuard, response *dialer.Response, sink Sink,
) (modeler.Outcome, bool) {
	events := newEventReader(response.Body, func(bytes int) error { return p.call.Memory.Charge(ctx, int64(bytes)) })
	started := false
	p.possibleRuns++
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) && response.Unframed && !started && p.lastEventID == "" {
			// An engine that fails before its first event may end its connection like this.
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			p.result.Status, p.result.Code, p.succeeded = Delivered, response.StatusCode, !response.Unframed
			if !p.headerSent && f.sendHeader(p, response, sink) != nil {
				p.result.Status = Left
			}
			return modeler.Answered, true
		}
		if errors.Is(err, errNoMemory) {
			// The endpoint is not to blame.
			p.mayHaveRun = true
			return modeler.Abandoned, false
		}
		if errors.Is(err, errNoEvent) {
			p.mayHaveRun = true
			return f.rejectAnswer(p, NoEvent, err), false
		}
		if err != nil {
			p.mayHaveRun = true
			return f.classifyReadError(ctx, p, guard, err), false
		}
		if !event.filler {
			// The time spent writing to a slow caller must not count as silence of the engine.
			guard.stop()
			p.recordEvent(time.Now())
			p.tokens += modeler.Tokens(max(p.call.Service.Engine.Stride, 1))
			if !started {
				started = true
				f.Control.Post(modeler.AttemptStarted{ID: id})
			}
		}
		if !p.headerSent {
			if err := f.sendHeader(p, response, sink); err != nil {
				return modeler.Abandoned, false
			}
		}
		if _, err := sink.Write(event.data); err != nil {
			return modeler.Abandoned, false
		}
		if event.id != "" {
			p.lastEventID = event.id
		}
		if !events.buffered() {
			if err := sink.Flush(); err != nil {
				return modeler.Abandoned, false
			}
		}
		if !event.filler {
			guard.reset(f.pauseLimit(p), true)
		}
	}
}

// recordEvent updates the longest pause and the time of the last event.
func (p *progress) recordEvent(now time.Time) {
	if !p.lastEventAt.IsZero() {
		p.result.Pause = max(p.result.Pause, now.Sub(p.lastEventAt))
	}
	p.lastEventAt = now
}

func (f *Forwarder) sendHeader(p *progress, response *dialer.Response, sink Sink) error {
	p.headerSent = true
	p.result.First = time.Since(p.call.Arrived)
	p.streamStatus = response.StatusCode
	// Without a type, or with a malformed one, a stream may be continued by one of eventStreamType.
	p.streamType, _, _ = mime.ParseMediaType(response.Header.Get("Content-Type"))
	return sink.Begin(response.StatusCode, endToEndHeader(response.Header), -1)
}

// pauseLimit returns how long an engine may pause between two events before the guard looks for another engine to resume the stream.
func (f *Forwarder) pauseLimit(p *progress) time.Duration {
	if !p.call.Route.Resumable || p.possibleRuns >= p.call.Route.MaxRuns {
		return noLimit
	}
	route := p.call.Route
	upper := time.Duration(maxPauseFraction * float64(streamWaitLimit(route)))
	return min(upper, max(minSilenceLimit, pauseGaps*route.GapTarget+pauseMargin))
}
