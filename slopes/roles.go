package main

import "fmt"

// roles lists the cost functions of a node's roles: systems in the order of a tick, then connections, then traffic.
var roles = []costFunc{
	detectorCost, applierCost, lenderCost, warmerCost, deduplicatorCost, admitterCost, runnerCost,
	gossipCost, borrowCost, permitCost, followerCost, callsCost, rulesCost, reportsCost, instancesCost,
	addressCost, forwarderCost,
}

func detectorCost(index *lineIndex, d deployment) cost {
	round, idle, rowBytes := index.value("detector.Round", "nodes", "ns/op", d.nodes), index.value("detector.Tick/batches=0", "nodes", "ns/op", d.nodes), index.value("measurer.Rows/node", "rows", "heap-B", d.nodes)
	return cost{
		role: "detector", cpu: 2*round + d.ticksPerSecond()*idle, memory: rowBytes,
		arithmetic: fmt.Sprintf("2 rounds × %s ns + %s ticks × %s ns; %g nodes take %s B", formatNumber(round), formatNumber(d.ticksPerSecond()), formatNumber(idle), d.nodes, formatNumber(rowBytes)),
	}
}

func applierCost(index *lineIndex, d deployment) cost {
	rate := d.rulesPerDay / secondsPerDay
	file, text, tick := index.value("applier.File", "members", "ns/op", d.members), index.value("applier.File", "members", "B/file", d.members), index.value("applier.Tick", "nodes", "ns/op", d.nodes)
	return cost{
		role: "applier", cpu: rate*file + d.ticksPerSecond()*tick, memory: 2 * text,
		arithmetic: fmt.Sprintf("%.3g files × %s ns + %s ticks × %s ns; twice the text of %s B", rate, formatNumber(file), formatNumber(d.ticksPerSecond()), formatNumber(tick), formatNumber(text)),
	}
}

func lenderCost(index *lineIndex, d deployment) cost {
	rate := d.requestRate() * d.borrowFraction()
	borrow, tick := index.value("lender.Borrow", "nodes", "ns/op", d.nodes), index.value("lender.Tick/nodes=330/changes=0", "members", "ns/op", d.members)
	rows := d.members * index.value("lender.Tick/nodes=330/changes=0", "members", "B/member", d.members)
	if d.nodes < 90 {
		rows = d.members * index.value("lender.Tick/nodes=9/changes=0", "members", "B/member", d.members)
	}
	return cost{
		role: "lender", cpu: rate*borrow + d.ticksPerSecond()*tick, memory: rows,
		arithmetic: fmt.Sprintf("%s borrows × %s ns + %s ticks × %s ns; %g members take %s B on the node that minted them", formatNumber(rate), formatNumber(borrow), formatNumber(d.ticksPerSecond()), formatNumber(tick), d.members, formatNumber(rows)),
	}
}

func warmerCost(index *lineIndex, d deployment) cost {
	permits := d.enginesPerNode() * d.requestsPerEngine()
	tick, permit := index.value("warmer.Tick", "endpoints", "ns/op", d.endpoints), index.value("warmer.Permit", "inflight", "ns/op", permits)
	released := 60 * d.requestRate() * index.slope("warmer.Released", "releases", "ns/op")
	report, list := index.value("warmer.Report", "inflight", "ns/op", permits), index.value("warmer.List", "endpoints", "ns/op", d.endpoints)
	rows := index.value("measurer.Rows/endpoint", "rows", "heap-B", d.endpoints) + index.value("measurer.Rows/permit", "rows", "heap-B", permits)
	return cost{
		role: "warmer", cpu: d.ticksPerSecond()*(tick+released) + d.requestRate()*permit + d.enginesPerNode()*report + list, memory: rows,
		arithmetic: fmt.Sprintf("%s ticks × (%s endpoints + %s releases) ns + %s permits × %s ns + %.3g reports × %s ns + list %s ns; rows take %s B",
			formatNumber(d.ticksPerSecond()), formatNumber(tick), formatNumber(released), formatNumber(d.requestRate()), formatNumber(permit), d.enginesPerNode(), formatNumber(report), formatNumber(list), formatNumber(rows)),
	}
}

func deduplicatorCost(index *lineIndex, d deployment) cost {
	keys := d.callsPerSecond * retentionSeconds
	read, tick := index.value("deduplicator.Read", "keys", "ns/op", min(keys, 50_000)), index.value("deduplicator.Tick", "keys", "ns/op", min(keys, 50_000))
	bytesPerKey := index.slope("deduplicator.Tick", "keys", "heap-B")
	return cost{
		role: "deduplicator", cpu: d.callsPerSecond*read + d.ticksPerSecond()*tick, memory: keys * bytesPerKey,
		arithmetic: fmt.Sprintf("%.3g calls × %s ns + %s ticks × %s ns; %s keys of a retention × %s B", d.callsPerSecond, formatNumber(read), formatNumber(d.ticksPerSecond()), formatNumber(tick), formatNumber(keys), formatNumber(bytesPerKey)),
	}
}

func admitterCost(index *lineIndex, d deployment) cost {
	request, tick := index.value("admitter.Request", "endpoints", "ns/op", d.endpoints), index.value("admitter.Tick", "inflight", "ns/op", d.inFlight())
	rows := index.value("measurer.Rows/request", "rows", "heap-B", d.inFlight())
	return cost{
		role: "admitter and router", cpu: d.requestRate()*request + d.ticksPerSecond()*tick, memory: rows,
		arithmetic: fmt.Sprintf("%s requests × %s ns + %s ticks × %s ns; %s requests take %s B", formatNumber(d.requestRate()), formatNumber(request), formatNumber(d.ticksPerSecond()), formatNumber(tick), formatNumber(d.inFlight()), formatNumber(rows)),
	}
}

func runnerCost(index *lineIndex, d deployment) cost {
	publish, garbage := 0.0, 0.0
	for _, p := range []struct {
		kind string
		rows float64
	}{{"members", d.members}, {"nodes", d.nodes}, {"endpoints", d.endpoints}, {"requests", d.inFlight()}} {
		publish += index.value("runner.Publish", p.kind, "ns/op", p.rows)
		garbage += index.value("runner.Publish", p.kind, "B/op", p.rows)
	}
	tick := index.value("runner.Tick", "events", "ns/op", 1)
	return cost{
		role: "runner and snapshot", cpu: 10*publish + d.ticksPerSecond()*tick, memory: 2 * garbage,
		arithmetic: fmt.Sprintf("10 snapshots × %s ns + %s ticks × %s ns; %s B garbage a snapshot", formatNumber(publish), formatNumber(d.ticksPerSecond()), formatNumber(tick), formatNumber(garbage)),
	}
}

func gossipCost(index *lineIndex, d deployment) cost {
	nodes := min(16, d.nodes-1)
	cpu, bytes, endpoint := index.exchangeCPU("Exchange/gossip", "nodes", nodes), index.exchangeBytes("Exchange/gossip", "nodes", nodes), index.slope("measurer.Exchange/gossip", "endpoints", "sent-B/exchange")
	total := bytes + endpoint*d.enginesPerNode()
	return cost{
		role: "messenger: gossip", cpu: 6 * cpu, network: 12 * total,
		arithmetic: fmt.Sprintf("6 exchanges out and 6 in × (%s B + %.3g endpoints × %s B); 6 × %s ns", formatNumber(bytes), d.enginesPerNode(), formatNumber(endpoint), formatNumber(cpu)),
	}
}

func borrowCost(index *lineIndex, d deployment) cost {
	rate := d.requestRate() * d.borrowFraction()
	cpu, bytes := 0.0, 0.0
	for _, kind := range []string{"Exchange/borrow", "Exchange/acknowledge", "Exchange/transfer"} {
		cpu += 2 * index.exchangeCPU(kind, "messages", 1)
		bytes += 2 * index.exchangeBytes(kind, "messages", 1)
	}
	return cost{
		role: "messenger: balances", cpu: rate * cpu, network: 2 * rate * bytes,
		arithmetic: fmt.Sprintf("%s borrows × 6 exchanges out and 6 in, together %s B each way; × %s ns", formatNumber(rate), formatNumber(bytes), formatNumber(cpu)),
	}
}

func permitCost(index *lineIndex, d deployment) cost {
	rate := d.requestRate() * d.remoteFraction()
	cpu := index.exchangeCPU("Exchange/permit", "messages", 1) + 2*index.exchangeCPU("Exchange/confirm", "messages", 1) + index.exchangeCPU("Exchange/release", "messages", 1)
	bytes := index.exchangeBytes("Exchange/permit", "messages", 1) + 2*index.exchangeBytes("Exchange/confirm", "messages", 1) + index.exchangeBytes("Exchange/release", "messages", 1)
	return cost{
		role: "messenger: permits", cpu: rate * cpu, network: 2 * rate * bytes,
		arithmetic: fmt.Sprintf("%s permits × 4 exchanges out and 4 in, together %s B each way; × %s ns", formatNumber(rate), formatNumber(bytes), formatNumber(cpu)),
	}
}

func followerCost(index *lineIndex, d deployment) cost {
	cpu, bytes := index.exchangeCPU("Read/hold", "records", 0), index.exchangeBytes("Read/hold", "records", 0)
	return cost{
		role: "follower: waiting reads", cpu: 3 * cpu, network: 3 * bytes,
		arithmetic: fmt.Sprintf("3 streams × 1 read/s × %s B and %s ns, the log's end included", formatNumber(bytes), formatNumber(cpu)),
	}
}

func callsCost(index *lineIndex, d deployment) cost {
	bytes := index.exchangeBytes("Read/intent", "records", 1) + index.exchangeBytes("Read/one-outcome", "body", outcomeBodyBytes)
	cpu := index.exchangeCPU("Read/intent", "records", 1) + index.exchangeCPU("Read/one-outcome", "body", outcomeBodyBytes)
	return cost{
		role: "follower: calls", cpu: d.callsPerSecond * cpu, network: d.callsPerSecond * bytes,
		arithmetic: fmt.Sprintf("%.3g calls × 2 reads, together %s B with a body of %d B; × %s ns, the log's end included", d.callsPerSecond, formatNumber(bytes), outcomeBodyBytes, formatNumber(cpu)),
	}
}

func rulesCost(index *lineIndex, d deployment) cost {
	rate := d.rulesPerDay / secondsPerDay
	cpu, bytes := index.exchangeCPU("Read/one-rules", "members", d.members), index.exchangeBytes("Read/one-rules", "members", d.members)
	return cost{
		role: "follower: rule files", cpu: rate * cpu, network: rate * bytes, memory: bytes,
		arithmetic: fmt.Sprintf("%.3g files × %s B and %s ns, spread over the day", rate, formatNumber(bytes), formatNumber(cpu)),
	}
}

func reportsCost(index *lineIndex, d deployment) cost {
	cpu, bytes := index.exchangeCPU("Report/engine", "requests", d.requestsPerEngine()), index.exchangeBytes("Report/engine", "requests", d.requestsPerEngine())
	return cost{
		role: "observer: reports", cpu: d.enginesPerNode() * cpu, network: d.enginesPerNode() * bytes,
		arithmetic: fmt.Sprintf("%.3g engines × 1/s × %s B with %s requests; × %s ns, the engine's end included", d.enginesPerNode(), formatNumber(bytes), formatNumber(d.requestsPerEngine()), formatNumber(cpu)),
	}
}

func instancesCost(index *lineIndex, d deployment) cost {
	cpu, bytes := index.exchangeCPU("Instances/list", "instances", d.endpoints), index.exchangeBytes("Instances/list", "instances", d.endpoints)
	return cost{
		role: "observer: instance list", cpu: cpu, network: bytes, memory: bytes,
		arithmetic: fmt.Sprintf("1/s × %s B for %g endpoints; %s ns, the list's end included", formatNumber(bytes), d.endpoints, formatNumber(cpu)),
	}
}

func addressCost(index *lineIndex, d deployment) cost {
	rate := d.addressRequestsPerSecond / d.nodes
	cpu, bytes := index.exchangeCPU("Addresses/question", "nodes", d.nodes), index.exchangeBytes("Addresses/question", "nodes", d.nodes)
	return cost{
		role: "callers' address questions", cpu: rate * cpu, network: rate * bytes,
		arithmetic: fmt.Sprintf("%.3g questions/s × %s B; × %s ns, the caller's end included", rate, formatNumber(bytes), formatNumber(cpu)),
	}
}

func forwarderCost(index *lineIndex, d deployment) cost {
	request, token := index.value("forwarder.Generate", "tokens", "ns/op", 0), index.slope("forwarder.Generate", "tokens", "ns/op")
	tokens := d.tokensPerSecond / d.nodes
	return cost{
		role: "(traffic) forwarder without connections", cpu: d.requestRate()*request + tokens*token, traffic: true,
		arithmetic: fmt.Sprintf("%s requests × %s ns + %s tokens × %s ns", formatNumber(d.requestRate()), formatNumber(request), formatNumber(tokens), formatNumber(token)),
	}
}
