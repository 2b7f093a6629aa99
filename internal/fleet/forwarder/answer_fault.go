package forwarder

import "damaskpick.example/damaskpick/internal/fleet/modeler"

// AnswerFault is the reason for which an answer is not forwarded, or not to its end. For an invalid head, it is the name of the checker.Fault.
type AnswerFault string

// Faults of answers whose head is valid.
const (
	// ForeignAnswer means that only answers to other requests were received.
	ForeignAnswer AnswerFault = "ForeignAnswer"
	// NoRequestID means that the answer on a connection that was used before does not say to which request it belongs.
	NoRequestID AnswerFault = "NoRequestID"
	// EncodedAnswer means that the body has an encoding, for which no request asks.
	EncodedAnswer AnswerFault = "EncodedAnswer"
	// UnsignedAnswer means that a success has no signature.
	UnsignedAnswer AnswerFault = "UnsignedAnswer"
	// LongAnswer means that the body is longer than maxAnswerBytes.
	LongAnswer AnswerFault = "LongAnswer"
	// CutAnswer means that the end of the connection would be the end of the body, but writing the request has failed.
	CutAnswer AnswerFault = "CutAnswer"
	// NoEvent means that a stream contains bytes that are no event.
	NoEvent AnswerFault = "NoEvent"
)

// InvalidAnswer describes an answer that is not forwarded, or not to its end.
type InvalidAnswer struct {
	Request  modeler.RequestID
	Endpoint modeler.EndpointID
	Fault    AnswerFault
	// Err has the details. It is nil for faults that need none.
	Err error
}

// rejectAnswer reports an invalid answer and returns the outcome of its attempt.
func (f *Forwarder) rejectAnswer(p *progress, fault AnswerFault, err error) modeler.Outcome {
	f.reportInvalid(p, fault, err)
	return modeler.Garbled
}

func (f *Forwarder) reportInvalid(p *progress, fault AnswerFault, err error) {
	if f.OnInvalidAnswer != nil {
		f.OnInvalidAnswer(InvalidAnswer{Request: p.call.Fields.ID, Endpoint: p.result.Endpoint, Fault: fault, Err: err})
	}
}
