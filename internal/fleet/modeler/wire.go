package modeler

import "time"

// RequestFields is what the header of a caller's request says, beside method, path and body.
type RequestFields struct {
	ID         RequestID
	Credential string
	// Timeout is how long the caller waits; zero if it does not say.
	Timeout        time.Duration
	Prompt, Output Tokens
	// LastEvent is the id of the last event that the caller has of a stream.
	LastEvent string
}

// AttemptFields is what the system adds to a request that it sends to an endpoint.
type AttemptFields struct {
	Endpoint EndpointID
	Member   MemberID
	// Timeout is the time that is left.
	Timeout time.Duration
	// LastEvent is empty if the stream starts where the caller asked.
	LastEvent string
	Helpers   []Helper
}

// Helper is an engine that processes a part of a prompt.
type Helper struct {
	Address string
	// Ticket names memory that was reserved there. It may be empty.
	Ticket string
}

// AnswerFields is what the header of an endpoint's answer says.
type AnswerFields struct {
	RequestID RequestID
	// Signed answers come from the endpoint itself.
	Signed bool
	// NotRun means that the endpoint did not and will not run the request.
	NotRun bool
	// Misdirected means that another endpoint has the address.
	Misdirected bool
	// Fault names the engine at fault, if it is not the one that answers.
	Fault string
}

// AddressQuery asks which nodes a caller may connect to.
type AddressQuery struct {
	Host       string
	Region     string
	DataCentre DataCentreID
}
