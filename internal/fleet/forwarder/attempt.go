package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/dialer"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// answerLimit bounds the answer of a plain service that is kept in memory until it is whole.
	answerLimit = 8 << 20
	// silencePart is how many times longer than expected the first event of a stream may take, beyond its objective, before the engine
	// counts as silent. Sending a long prompt twice costs more than the wait for an engine that is dead.
	silencePart = 1.5
	// minSilence is the shortest such time. Shorter times sent requests of loaded engines twice; callers of short prompts leave after 2 s.
	minSilence = 1300 * time.Millisecond
	// pauseExtra and pauseGaps give how long a stream may pause before it goes on elsewhere, and pausePart bounds it to a part of the time
	// after which its caller leaves.
	pauseExtra = time.Second
	pauseGaps  = 2
	pausePart  = 0.8
	// silenceTargets is how many objectives a safe call may take before it is sent to another endpoint.
	silenceTargets = 2.5
)

// attempt sends the call to one endpoint and passes the answer on.
func (f *Forwarder) attempt(ctx context.Context, p *progress, plan modeler.Plan, sink Sink) (outcome modeler.Outcome) {
	id := f.request(p).ID
	p.sends++
	p.sentAt, p.fault = time.Now(), ""
	p.result.Endpoint, p.result.Helpers = plan.Endpoint.ID, len(plan.Helpers)
	defer func() {
		f.Control.Post(modeler.AttemptEnded{ID: id, Outcome: outcome, Fault: p.fault})
		if outcome == modeler.Unreachable || outcome == modeler.Silent || outcome == modeler.Misdirected {
			f.Pool.Forget(plan.Endpoint.Address)
		}
	}()
	reserved, err := f.reserve(ctx, id, plan)
	if err != nil {
		return f.failure(ctx, p, err, modeler.Shed)
	}
	defer reserved.release()
	x, err := f.Pool.Send(ctx, plan.Endpoint.Address, f.outgoing(p, plan, reserved))
	if err != nil {
		var failed dialer.SendError
		if errors.As(err, &failed) && failed.Sent {
			p.arrived++
			f.mayHaveRun(p)
			return f.failure(ctx, p, err, modeler.Broken)
		}
		return f.failure(ctx, p, err, modeler.Unreachable)
	}
	p.arrived++
	complete := false
	defer func() { x.Close(complete) }()
	guard := f.guard(p, id, x.Abort, f.silence(p, plan))
	defer guard.stop()
	response, err := x.Answer(p.call.Method, max(time.Until(p.deadline), time.Millisecond), func(header http.Header) bool {
		own := f.Protocol.AnswerFields(0, header).RequestID
		return own == "" || own == p.call.Fields.ID
	})
	if err != nil {
		f.mayHaveRun(p)
		return f.cause(ctx, p, guard, err)
	}
	fields := f.Protocol.AnswerFields(response.StatusCode, response.Header)
	if fields.NotRun {
		complete = drained(response)
		p.fault = blamed(plan, fields.Fault)
		if fields.Misdirected && p.fault == "" {
			return modeler.Misdirected
		}
		return modeler.Shed
	}
	if response.Header.Get("Content-Encoding") != "" || response.StatusCode < 300 && !fields.Signed {
		f.mayHaveRun(p)
		return modeler.Garbled
	}
	if p.begun && response.StatusCode >= 300 {
		// The caller has a part of another engine's stream; a failure must not end it as if it were whole.
		f.mayHaveRun(p)
		complete = drained(response)
		return modeler.Failed
	}
	if p.call.Route.Kind == modeler.Stream && response.StatusCode < 300 {
		outcome, complete = f.stream(ctx, p, id, guard, response, sink)
		return outcome
	}
	outcome, complete = f.whole(ctx, p, guard, response, sink)
	return outcome
}

// blamed returns the helper that an engine names, by its id or its address.
func blamed(plan modeler.Plan, name string) modeler.EndpointID {
	for _, h := range plan.Helpers {
		if name != "" && (name == string(h.ID) || name == h.Address) {
			return h.ID
		}
	}
	return ""
}

// drained reads a short answer to its end, so that the connection can be used again.
func drained(response *dialer.Answer) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, answerLimit))
	return err == nil && n < answerLimit
}

// mayHaveRun counts an attempt that the endpoint may have run.
func (f *Forwarder) mayHaveRun(p *progress) {
	p.ran++
	p.mayRun = true
}

func (f *Forwarder) outgoing(p *progress, plan modeler.Plan, reserved *tickets) dialer.Outgoing {
	attempt := modeler.AttemptFields{
		Endpoint: plan.Endpoint.ID, Member: p.call.Member.ID, Timeout: time.Until(p.deadline), LastEvent: p.lastEvent,
		Helpers: reserved.helpers(plan),
	}
	return dialer.Outgoing{
		Method: p.call.Method, URI: p.call.URI, Host: p.call.Host, Header: f.Protocol.AttemptHeader(p.call.Header, attempt), Body: p.call.Body,
		MostIdle: f.mostIdle(p.call.Service),
	}
}

// idlePart is the part of an endpoint's connections that all nodes together keep idle, so that those in use find room.
const idlePart = 0.5

// mostIdle is this node's share of the idle connections to an endpoint.
func (f *Forwarder) mostIdle(service modeler.Service) int {
	if service.ConnectionLimit <= 0 {
		return 0
	}
	nodes := max(len(f.Control.Snapshot().Alive), 1)
	return max(1, int(idlePart*float64(service.ConnectionLimit)/float64(nodes)))
}

// silence is how long the endpoint may take until its answer begins, before another one is asked.
func (f *Forwarder) silence(p *progress, plan modeler.Plan) time.Duration {
	if !p.call.Route.Repeatable() || p.ran+1 >= p.call.Route.Attempts {
		return noLimit
	}
	limit := time.Duration(silenceTargets * float64(p.call.Route.Target))
	if p.call.Route.Kind == modeler.Stream {
		limit = max(minSilence, p.call.Route.Target) + time.Duration(silencePart*float64(plan.First))
	}
	return limit
}

// failure turns an error of a connection into an outcome.
func (f *Forwarder) failure(ctx context.Context, p *progress, err error, broken modeler.Outcome) modeler.Outcome {
	var timeout net.Error
	waited := time.Since(p.sentAt)
	switch {
	case ctx.Err() != nil:
		return modeler.Abandoned
	case errors.Is(err, dialer.ErrForeign):
		return modeler.Garbled
	case errors.Is(err, syscall.ETIMEDOUT) && broken == modeler.Broken:
		// The endpoint's host acknowledges nothing.
		return modeler.Silent
	case errors.As(err, &timeout) && timeout.Timeout() && broken == modeler.Broken:
		if time.Until(p.deadline) < minLeft && waited < time.Duration(silenceTargets*float64(p.call.Route.Target)) {
			// The caller's time was too short to say anything about the endpoint.
			return modeler.Abandoned
		}
		return modeler.Silent
	default:
		return broken
	}
}

// cause turns an error of reading into an outcome.
func (f *Forwarder) cause(ctx context.Context, p *progress, guard *silenceGuard, err error) modeler.Outcome {
	if next := guard.taken(); next != nil && ctx.Err() == nil {
		p.next = next
		p.paid++
		return modeler.Silent
	}
	return f.failure(ctx, p, err, modeler.Broken)
}

// whole passes on an answer that is not a stream, once all of it is there.
func (f *Forwarder) whole(ctx context.Context, p *progress, guard *silenceGuard, response *dialer.Answer, sink Sink) (modeler.Outcome, bool) {
	body, err := io.ReadAll(io.LimitReader(response.Body, answerLimit+1))
	if err != nil || len(body) > answerLimit {
		f.mayHaveRun(p)
		return f.cause(ctx, p, guard, err), false
	}
	if untrue(response.StatusCode) {
		// Towards callers these statuses promise that the request did not run, which the endpoint did not say.
		f.mayHaveRun(p)
		return modeler.Failed, true
	}
	answer := &answer{status: response.StatusCode, header: endToEnd(response.Header), body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		// Another endpoint may do better; if none is asked or none answers, the caller gets this failure.
		f.mayHaveRun(p)
		p.failure = answer
		return modeler.Failed, true
	}
	p.ran++
	answer.deliver(p, sink)
	return modeler.Answered, true
}

// answer is a whole answer of an endpoint.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// deliver passes the answer on. A caller that has left is told nothing; the server closes its connection.
func (a *answer) deliver(p *progress, sink Sink) {
	p.begun = true
	p.result.Status, p.result.Code, p.result.First = Delivered, a.status, time.Since(p.call.Arrived)
	err := sink.Begin(a.status, a.header, len(a.body))
	if err == nil {
		_, err = sink.Write(a.body)
	}
	if err != nil {
		p.result.Status = Left
	}
}

// untrue tells whether a status promises to callers what the endpoint did not promise.
func untrue(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// endToEnd returns the header without what concerns one connection only.
func endToEnd(header http.Header) http.Header {
	kept := make(http.Header, len(header))
	for name, values := range header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		default:
			kept[name] = values
		}
	}
	return kept
}

// stream passes on events as they come. Only whole events are passed on, so that another engine can go on after the last one.
func (f *Forwarder) stream(
	ctx context.Context, p *progress, id modeler.RequestID, guard *silenceGuard, response *dialer.Answer, sink Sink,
) (modeler.Outcome, bool) {
	events := newEventReader(response.Body)
	started := false
	p.ran++
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			p.result.Status, p.result.Code = Delivered, response.StatusCode
			if !p.begun && f.begin(p, response, sink) != nil {
				p.result.Status = Left
			}
			return modeler.Answered, true
		}
		if err != nil {
			p.mayRun = true
			return f.cause(ctx, p, guard, err), false
		}
		// The time that a slow caller takes is not the engine's.
		guard.stop()
		p.heard(time.Now())
		if !started {
			started = true
			f.Control.Post(modeler.AttemptStarted{ID: id})
		}
		if !p.begun {
			if err := f.begin(p, response, sink); err != nil {
				return modeler.Abandoned, false
			}
		}
		if _, err := sink.Write(event.data); err != nil {
			return modeler.Abandoned, false
		}
		if event.id != "" {
			p.lastEvent = event.id
		}
		if !events.buffered() {
			if err := sink.Flush(); err != nil {
				return modeler.Abandoned, false
			}
		}
		guard.watch(f.pause(p), true)
	}
}

// heard notes an event of a stream.
func (p *progress) heard(now time.Time) {
	if !p.heardAt.IsZero() {
		p.result.Pause = max(p.result.Pause, now.Sub(p.heardAt))
	}
	p.heardAt = now
}

func (f *Forwarder) begin(p *progress, response *dialer.Answer, sink Sink) error {
	p.begun = true
	p.result.First = time.Since(p.call.Arrived)
	return sink.Begin(response.StatusCode, endToEnd(response.Header), -1)
}

// pause is how long an engine may pause between two events before the stream goes on elsewhere.
func (f *Forwarder) pause(p *progress) time.Duration {
	if !p.call.Route.Resumable || p.ran >= p.call.Route.Attempts {
		return noLimit
	}
	route := p.call.Route
	longest := time.Duration(pausePart * float64(patience(route)))
	return min(longest, max(minSilence, pauseGaps*route.GapTarget+pauseExtra))
}

// errCutEvent says that a stream ended inside an event.
var errCutEvent = errors.New("stream ended inside an event")

// event is one server-sent event with its end.
type event struct {
	data []byte
	id   string
}

// eventReader splits a stream into events.
type eventReader struct {
	source io.Reader
	buffer []byte
	// start and end delimit what was read and not returned.
	start, end int
}

// eventBuffer holds a usual event; larger ones grow it.
const eventBuffer = 4 << 10

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, buffer: make([]byte, eventBuffer)}
}

var eventEnd = []byte("\n\n")

// buffered tells whether another whole event is there.
func (r *eventReader) buffered() bool { return bytes.Contains(r.buffer[r.start:r.end], eventEnd) }

// next returns the next event. Its data is valid until the next call. The end of the stream inside an event is an error.
func (r *eventReader) next() (event, error) {
	for {
		if at := bytes.Index(r.buffer[r.start:r.end], eventEnd); at >= 0 {
			data := r.buffer[r.start : r.start+at+len(eventEnd)]
			r.start += len(data)
			return event{data: data, id: eventID(data)}, nil
		}
		if r.start > 0 {
			r.end = copy(r.buffer, r.buffer[r.start:r.end])
			r.start = 0
		}
		if r.end == len(r.buffer) {
			if len(r.buffer) >= answerLimit {
				return event{}, errCutEvent
			}
			r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
		}
		n, err := r.source.Read(r.buffer[r.end:])
		r.end += n
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) && r.end > 0 {
			return event{}, errCutEvent
		}
		if err != nil {
			return event{}, err
		}
	}
}

// eventID returns the value of the id field of an event.
func eventID(data []byte) string {
	for len(data) > 0 {
		line, rest, _ := bytes.Cut(data, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
		data = rest
	}
	return ""
}
