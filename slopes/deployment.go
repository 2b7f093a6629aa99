package main

import "math"

// deployment holds the size and load that a budget is computed for. Rates are sums over the whole deployment.
type deployment struct {
	name                               string
	nodes, engines, endpoints          float64
	members                            float64
	requestsPerSecond                  float64
	tokensPerSecond                    float64
	callsPerSecond                     float64
	rulesPerDay                        float64
	instanceChangesPerDay              float64
	addressRequestsPerSecond           float64
	tokenGapSeconds, firstTokenSeconds float64
}

const (
	secondsPerDay = 86_400
	// retentionSeconds is the log retention that package launcher and the example settings use.
	retentionSeconds = 24 * 3600
	// idleBalanceSeconds is how long the lender keeps an unused free balance on a node before it moves to a preferred holder.
	idleBalanceSeconds = 5
	// outcomeBodyBytes is the assumed size of the response body of a non-idempotent call.
	outcomeBodyBytes = 300
)

// deployments lists the target of docs/design.md, section 4, and the current deployments. The current load and the rates of calls and address
// requests are assumptions, which docs/CAPACITY.md lists.
var deployments = []deployment{
	{
		name: "target in two years", nodes: 330, engines: 660, endpoints: 660, members: 5_700,
		requestsPerSecond: 3_900, tokensPerSecond: 1_800_000, callsPerSecond: 39, rulesPerDay: 1_500, instanceChangesPerDay: 118,
		addressRequestsPerSecond: 570, tokenGapSeconds: 0.036, firstTokenSeconds: 0.62,
	},
	{
		name: "Szélfogó today", nodes: 8, engines: 16, endpoints: 19, members: 10,
		requestsPerSecond: 95, tokensPerSecond: 43_600, callsPerSecond: 0.1, rulesPerDay: 10, instanceChangesPerDay: 8,
		addressRequestsPerSecond: 1, tokenGapSeconds: 0.036, firstTokenSeconds: 0.62,
	},
	{
		name: "Szélfogó today, idle", nodes: 8, engines: 16, endpoints: 19, members: 10,
	},
	{
		name: "Magnolia today", nodes: 9, engines: 20, endpoints: 23, members: 10,
		requestsPerSecond: 118, tokensPerSecond: 54_500, callsPerSecond: 0.1, rulesPerDay: 10, instanceChangesPerDay: 9,
		addressRequestsPerSecond: 1, tokenGapSeconds: 0.036, firstTokenSeconds: 0.62,
	},
}

// requestRate returns the requests per second on one node.
func (d deployment) requestRate() float64 { return d.requestsPerSecond / d.nodes }

// requestSeconds returns how long a mean request is in flight: the time to the first token plus the mean number of tokens at the target gap.
// It returns 0 without requests.
func (d deployment) requestSeconds() float64 {
	if d.requestsPerSecond == 0 {
		return 0
	}
	return d.firstTokenSeconds + d.tokensPerSecond/d.requestsPerSecond*d.tokenGapSeconds
}

// inFlight returns the mean number of concurrent requests on a node.
func (d deployment) inFlight() float64 { return d.requestRate() * d.requestSeconds() }

// requestsPerEngine returns the mean number of concurrent requests on an engine.
func (d deployment) requestsPerEngine() float64 {
	return d.requestsPerSecond / d.engines * d.requestSeconds()
}

// enginesPerNode returns the mean number of engines that a node holds.
func (d deployment) enginesPerNode() float64 { return d.engines / d.nodes }

// remoteFraction returns the fraction of requests whose endpoint is held by another node.
func (d deployment) remoteFraction() float64 { return 1 - 1/d.nodes }

// borrowFraction returns the fraction of requests whose member has no free balance on the node: the node is not one of the two preferred
// holders, and no request of the member ended there within idleBalanceSeconds, after which a free balance moves to them. The formula
// assumes that all members send requests at the same rate.
func (d deployment) borrowFraction() float64 {
	return (1 - 2/d.nodes) * math.Exp(-idleBalanceSeconds*d.requestRate()/d.members)
}

// ticksPerSecond returns an upper bound of the ticks per second of a node: each event causes one. Each second, gossip causes 14, the log 3,
// the instance list 1, the snapshot 10 and reports one for each engine. A request causes 8 on its node and 4 on the endpoint's holder, and
// borrowing 6 on both sides.
func (d deployment) ticksPerSecond() float64 {
	return 28 + d.enginesPerNode() + d.requestRate()*(12+12*d.borrowFraction())
}
