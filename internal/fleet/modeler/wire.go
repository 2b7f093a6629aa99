package modeler

import "time"

// RequestFields holds the fields of a caller's request other than method, path and body.
type RequestFields struct {
	ID         RequestID
	Credential string
	// Timeout is the caller's timeout; zero if the caller sets none.
	Timeout        time.Duration
	Prompt, Output Tokens
	// LastEvent is the id of the last event of a stream that the caller received.
	LastEvent string
	// SharedParts holds the ids of the parts of the prompt that other requests may share, in their order.
	SharedParts []string
}

// AttemptFields holds the fields that are added to a request when it is sent to an endpoint.
type AttemptFields struct {
	Endpoint EndpointID
	Member   MemberID
	// Timeout is the remaining time until the deadline.
	Timeout time.Duration
	// LastEvent is the id of the event after which the stream continues; empty if it starts at the beginning.
	LastEvent string
	Helpers   []Helper
}

// Helper is an engine that processes a part of a prompt.
type Helper struct {
	Address string
	// Ticket identifies the reservation of memory on the engine. It is empty if there is none.
	Ticket string
}

// ResponseFields holds the header fields of an endpoint's response.
type ResponseFields struct {
	RequestID RequestID
	// Signed is set if the response has a signature header. The signature is not verified.
	Signed bool
	// NotRun is set if the endpoint did not run the request and will not run it.
	NotRun bool
	// Misdirected is set if a different endpoint has the address.
	Misdirected bool
	// FaultyEngine identifies the engine that caused the failure, if it is not the one that responds.
	FaultyEngine string
	Notice       EndpointNotice
}

// EndpointNotice is what an endpoint says in the header of a response about the requests that it takes.
type EndpointNotice struct {
	// Limited is set if the endpoint names a limit. Limit is the number of requests a second that it takes from all nodes together.
	Limited bool
	Limit   float64
	// Leaving is set if the endpoint is shutting down.
	Leaving bool
	// Pause is the time for which the endpoint wants no requests from this node; zero if it states none.
	Pause time.Duration
}

// Empty reports whether the endpoint has said nothing.
func (n EndpointNotice) Empty() bool { return n == EndpointNotice{} }

// AddressQuery is a query for the nodes that a caller may connect to.
type AddressQuery struct {
	Host       string
	Region     string
	DataCentre DataCentreID
}
