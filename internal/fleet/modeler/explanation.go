package modeler

import "time"

// Explanation says where a request would go at the moment, and why. Nothing was sent or changed for it.
type Explanation struct {
	// Node is the node that has compared the endpoints, and Coordinates is set if it places the requests of all nodes.
	Node        NodeID
	Coordinates bool
	// Verdict is Place, Wait or Refuse. Decision has the plan or the refusal; for Wait it has the best plan so far, if there is one. Cause is why the request
	// waits.
	Verdict  Verdict
	Decision Decision
	Cause    string
	// RefusedAt is when the request is refused if it still waits.
	RefusedAt time.Time
	// Candidates are the endpoints that may get the request, the best ones first, and Compared is the number of all of them.
	Candidates []ExplainedCandidate
	Compared   int
	// Excluded are the endpoints of the service that may not get it.
	Excluded []ExcludedEndpoint
}

// Verdict is what would happen to a request.
type Verdict string

// Verdicts.
const (
	VerdictPlace  Verdict = "Place"
	VerdictWait   Verdict = "Wait"
	VerdictRefuse Verdict = "Refuse"
)

// ExplainedCandidate is an endpoint with the cost of placing a request there alone. Costs are in units of a short request.
type ExplainedCandidate struct {
	Endpoint Endpoint
	Running  int
	Memory   Tokens
	// Backlog is the prefill time that an engine still has to do, and Work the time for which calls will occupy slots of a plain service.
	Backlog, Work time.Duration
	Pace          float64
	FailureRate   float64
	// Usable is set if the endpoint could run the request now. Interference, LateLoss, OtherCost and Expected are valid only then; Why says why not.
	Usable                            bool
	Why                               string
	Interference, LateLoss, OtherCost float64
	Expected                          time.Duration
}

// ExcludedEndpoint is an endpoint that may not get a request.
type ExcludedEndpoint struct {
	Endpoint EndpointID
	Reason   string
}
