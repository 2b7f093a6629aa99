package messenger

import (
	"math"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/estimator"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// decode converts a datagram that was received at the time now to a message. It returns false if this version does not know the type of the
// body. Missing fields become zero values.
func decode(now time.Time, d *Datagram) (modeler.Message, bool) {
	message := modeler.Message{From: modeler.NodeID(d.GetFrom()), Incarnation: d.GetIncarnation()}
	switch body := d.GetBody().(type) {
	case *Datagram_Ask:
		message.Body = modeler.Ask{Request: decodeRequest(now, body.Ask.GetRequest())}
	case *Datagram_Queued:
		message.Body = modeler.Queued{ID: modeler.RequestID(body.Queued)}
	case *Datagram_Granted:
		g := body.Granted
		message.Body = modeler.Granted{ID: modeler.RequestID(g.GetId()), Decision: modeler.Decision{
			Plan: decodePlan(g.GetPlan()), Refused: g.GetRefused(), Reason: modeler.RefusalReason(g.GetReason()), RetryAfter: microseconds(g.GetRetryAfter()),
		}}
	case *Datagram_Started:
		message.Body = modeler.Started{ID: modeler.RequestID(body.Started)}
	case *Datagram_Ended:
		e := body.Ended
		message.Body = modeler.Ended{
			ID: modeler.RequestID(e.GetId()), Endpoint: modeler.EndpointID(e.GetEndpoint()),
			Outcome: modeler.Outcome(min(e.GetOutcome(), uint32(modeler.Garbled))), Fingerprint: modeler.Fingerprint(e.GetFingerprint()),
			SharedParts: decodeFingerprints(e.GetSharedParts()), Age: microseconds(e.GetAge()), Survived: e.GetSurvived(),
			ProcessEndedAt: time.Duration(e.GetEndedAt()) * time.Microsecond, Succeeded: e.GetSucceeded(), Tokens: modeler.Tokens(max(e.GetTokens(), 0)),
		}
	case *Datagram_Beat:
		message.Body = decodeBeat(now, body.Beat)
	case *Datagram_EndpointNews:
		message.Body = decodeEndpointNews(body.EndpointNews)
	case *Datagram_StatePiece:
		p := body.StatePiece
		message.Body = modeler.StatePiece{
			State: modeler.StateID(p.GetState()), Base: modeler.StateID(p.GetBase()), Next: modeler.Position(p.GetNext()), Age: microseconds(p.GetAge()),
			Version: p.GetVersion(), Index: int(p.GetIndex()), Count: int(p.GetCount()), Data: p.GetData(),
		}
	case *Datagram_TermsReport:
		message.Body = modeler.TermsReport{Terms: decodeTerms(body.TermsReport.GetTerms())}
	case *Datagram_Digest:
		message.Body = decodeDigest(body.Digest)
	default:
		return message, false
	}
	return message, true
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func decodeRequest(now time.Time, r *Request) modeler.Request {
	tried := make([]modeler.EndpointID, 0, len(r.GetTried()))
	for _, e := range r.GetTried() {
		tried = append(tried, modeler.EndpointID(e))
	}
	return modeler.Request{
		ID: modeler.RequestID(r.GetId()), Node: modeler.NodeID(r.GetNode()), Service: modeler.ServiceID(r.GetService()),
		Kind: modeler.Kind(min(r.GetKind(), uint32(modeler.Stream))), Prompt: modeler.Tokens(r.GetPrompt()), Output: modeler.Tokens(r.GetOutput()),
		Arrived: now.Add(-microseconds(r.GetAge())), Due: now.Add(microseconds(r.GetDue())), Deadline: now.Add(microseconds(r.GetDeadline())),
		Gap: microseconds(r.GetGap()), Priority: int(r.GetPriority()), Fingerprint: modeler.Fingerprint(r.GetFingerprint()), Tried: tried,
		DataCentre: modeler.DataCentreID(r.GetDataCentre()), SharedParts: decodeFingerprints(r.GetSharedParts()),
		RepeatsBroken: r.GetRepeatsBroken(), Borrows: r.GetBorrows(),
		Cost: estimator.Key{Group: r.GetCostGroup(), Subgroup: r.GetCostSubgroup(), Special: r.GetCostSpecial(), Owner: r.GetCostOwner()},
	}
}

func decodeFingerprints(list []uint64) []modeler.Fingerprint {
	if len(list) == 0 {
		return nil
	}
	decoded := make([]modeler.Fingerprint, 0, len(list))
	for _, f := range list {
		decoded = append(decoded, modeler.Fingerprint(f))
	}
	return decoded
}

// decodePlan sets only the IDs of endpoints; the receiver looks up their addresses in its own table, which comes from the store.
func decodePlan(p *Plan) modeler.Plan {
	plan := modeler.Plan{
		Endpoint: modeler.Endpoint{ID: modeler.EndpointID(p.GetEndpoint())}, PartPrefill: microseconds(p.GetPart()), TimeToFirstEvent: microseconds(p.GetFirst()),
		Late: p.GetLate(),
	}
	for _, h := range p.GetHelpers() {
		plan.Helpers = append(plan.Helpers, modeler.Endpoint{ID: modeler.EndpointID(h)})
	}
	for _, h := range p.GetHeld()[:min(len(p.GetHeld()), len(plan.Helpers))] {
		plan.Reserved = append(plan.Reserved, modeler.Tokens(h))
	}
	return plan
}

func decodeNode(n *Node) modeler.Node {
	return modeler.Node{
		ID: modeler.NodeID(n.GetId()), Incarnation: n.GetIncarnation(), Rank: modeler.Position(n.GetRank()), PeerAddress: n.GetPeerAddress(),
		CallerAddress: n.GetCallerAddress(), DataCentre: modeler.DataCentreID(n.GetDataCentre()), Region: n.GetRegion(), Leaving: n.GetLeaving(),
		MilliCores: int(n.GetMilliCores()),
	}
}

func decodeBeat(now time.Time, b *Beat) modeler.Beat {
	beat := modeler.Beat{
		Node: decodeNode(b.GetNode()), Coordinates: b.GetCoordinates(), ReadsForAll: b.GetReadsForAll(), Suspects: decodeSuspects(b.GetSuspects()),
		Terms: decodeTerms(b.GetTerms()), Holds: modeler.StateID(b.GetHolds()), HoldsVersion: b.GetHoldsVersion(), Part: modeler.RequestPart{Index: int(b.GetPart()), Count: int(b.GetParts())},
	}
	for i := range beat.ReadPositions {
		// A node that names no position confirms nothing.
		beat.ReadPositions[i].Age = math.MaxInt64
	}
	for i, k := range b.GetKnown() {
		if i < len(beat.ReadPositions) {
			beat.ReadPositions[i] = modeler.ReadPosition{End: modeler.Position(k.GetEnd()), LastChangeEnd: modeler.Position(k.GetMaterial()), Age: microseconds(k.GetAge())}
		}
	}
	for _, a := range b.GetRunning() {
		assignment := modeler.Assignment{
			Request: decodeRequest(now, a.GetRequest()), Plan: decodePlan(a.GetPlan()), Placed: now.Add(-microseconds(a.GetAge())),
		}
		if a.GetStarted() {
			assignment = assignment.WithFirstEvent(now)
		}
		beat.Running = append(beat.Running, assignment)
	}
	return beat
}

func decodeEndpointNews(n *EndpointNews) modeler.EndpointChanges {
	update := modeler.EndpointChanges{From: modeler.Position(n.GetFrom()), Next: modeler.Position(n.GetNext())}
	for _, c := range n.GetChanges() {
		update.Changes = append(update.Changes, modeler.EndpointChange{
			Endpoint: modeler.Endpoint{
				ID: modeler.EndpointID(c.GetId()), Service: modeler.ServiceID(c.GetService()), Address: c.GetAddress(),
				DataCentre: modeler.DataCentreID(c.GetDataCentre()), Slots: int(c.GetSlots()), Draining: c.GetDraining(), StartUnixMilli: c.GetBorn(),
			},
			ColdFor: microseconds(c.GetColdFor()), Offset: modeler.Position(c.GetOffset()), Removed: c.GetRemoved(), Unreadable: c.GetUnreadable(),
		})
	}
	return update
}

func decodeDigest(d *Digest) modeler.Digest {
	digest := modeler.Digest{Loads: make(map[modeler.EndpointID]modeler.LoadSummary, len(d.GetLoads()))}
	for _, n := range d.GetAlive() {
		digest.Alive = append(digest.Alive, modeler.ReportedNode{Node: decodeNode(n), Age: microseconds(n.GetAge())})
	}
	for i, rank := range d.GetAliveRanks() {
		report := modeler.ReportedRank{Rank: modeler.Position(rank)}
		if i < len(d.GetAliveAgesMs()) {
			report.Age = time.Duration(d.GetAliveAgesMs()[i]) * time.Millisecond
		}
		digest.AliveRanks = append(digest.AliveRanks, report)
	}
	for _, l := range d.GetLoads() {
		digest.Loads[modeler.EndpointID(l.GetEndpoint())] = modeler.LoadSummary{
			Running: int(l.GetRunning()), Memory: modeler.Tokens(l.GetMemory()), Backlog: microseconds(l.GetBacklog()), Gap: microseconds(l.GetGap()),
			Work: max(microseconds(l.GetWork()), 0),
		}
	}
	digest.Suspects, digest.SuspectsPartial = decodeSuspects(d.GetSuspects()), d.GetSuspectsPartial()
	digest.Terms = decodeTerms(d.GetTerms())
	for _, c := range d.GetCosts() {
		if value, weight := float64(c.GetValue()), float64(c.GetWeight()); value >= 0 && weight >= 0 && !math.IsInf(value, 0) && !math.IsInf(weight, 0) {
			digest.Costs = append(digest.Costs, modeler.CostSummary{Group: c.GetGroup(), Subgroup: c.GetSubgroup(), Value: value, Weight: weight})
		}
	}
	return digest
}

func decodeTerms(list []*Terms) []modeler.ReportedTerms {
	if len(list) == 0 {
		return nil
	}
	decoded := make([]modeler.ReportedTerms, 0, len(list))
	for _, t := range list {
		decoded = append(decoded, modeler.ReportedTerms{
			Endpoint: modeler.EndpointID(t.GetEndpoint()), StartUnixMilli: t.GetBorn(), Leaving: t.GetLeaving(), Limited: t.GetLimited(),
			Limit: max(t.GetLimit(), 0), Age: microseconds(t.GetAge()),
		})
	}
	return decoded
}

// decodeProbe returns the probe of a fingerprint, for a node of an earlier version one that broke just now if it states that.
func decodeProbe(s *Suspect) modeler.ProbeReport {
	probe := s.GetProbe()
	if probe == nil {
		return modeler.BrokenProbe(s.GetConfirmed())
	}
	return modeler.ProbeReport{
		Quarantine: int(probe.GetQuarantine()), Number: int(probe.GetNumber()), ID: modeler.RequestID(probe.GetRequest()),
		State: modeler.ProbeState(min(probe.GetState(), uint32(modeler.ProbeBroke))), Age: microseconds(probe.GetAge()),
	}
}

func decodeSuspects(list []*Suspect) []modeler.Suspect {
	if len(list) == 0 {
		return nil
	}
	decoded := make([]modeler.Suspect, 0, len(list))
	for _, s := range list {
		decoded = append(decoded, modeler.Suspect{
			Fingerprint: modeler.Fingerprint(s.GetFingerprint()), Count: int(s.GetCount()), SharedPart: s.GetSharedPart(),
			Companions: decodeFingerprints(s.GetCompanions()), Requests: decodeFingerprints(s.GetRequests()),
			QuarantinedFor: microseconds(s.GetQuarantinedFor()), Age: microseconds(s.GetAge()),
			Quarantines: int(s.GetQuarantines()), Probe: decodeProbe(s),
		})
	}
	return decoded
}
