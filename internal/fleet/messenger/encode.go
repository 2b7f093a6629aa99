package messenger

import (
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// encode converts a message to a datagram. Times become durations relative to now, the time of sending, because the clocks of nodes may differ.
func encode(now time.Time, message modeler.Message) *Datagram {
	d := &Datagram{From: string(message.From), Incarnation: message.Incarnation}
	switch body := message.Body.(type) {
	case modeler.Ask:
		d.Body = &Datagram_Ask{Ask: &Ask{Request: encodeRequest(now, body.Request)}}
	case modeler.Queued:
		d.Body = &Datagram_Queued{Queued: string(body.ID)}
	case modeler.Granted:
		d.Body = &Datagram_Granted{Granted: &Granted{
			Id: string(body.ID), Plan: encodePlan(body.Decision.Plan), Refused: body.Decision.Refused,
			Reason: string(body.Decision.Reason), RetryAfter: body.Decision.RetryAfter.Microseconds(),
		}}
	case modeler.Started:
		d.Body = &Datagram_Started{Started: string(body.ID)}
	case modeler.Ended:
		d.Body = &Datagram_Ended{Ended: &Ended{
			Id: string(body.ID), Endpoint: string(body.Endpoint), Outcome: uint32(body.Outcome), Fingerprint: uint64(body.Fingerprint),
			SharedParts: encodeFingerprints(body.SharedParts), Age: body.Age.Microseconds(), Survived: body.Survived,
			EndedAt: body.ProcessEndedAt.Microseconds(), Succeeded: body.Succeeded, Tokens: int64(body.Tokens),
		}}
	case modeler.Beat:
		d.Body = &Datagram_Beat{Beat: encodeBeat(now, body)}
	case modeler.EndpointChanges:
		d.Body = &Datagram_EndpointNews{EndpointNews: encodeEndpointNews(body)}
	case modeler.StatePiece:
		d.Body = &Datagram_StatePiece{StatePiece: &StatePiece{
			State: uint64(body.State), Base: uint64(body.Base), Next: int64(body.Next), Age: body.Age.Microseconds(),
			Version: body.Version, Index: uint32(body.Index), Count: uint32(body.Count), Data: body.Data,
		}}
	case modeler.TermsReport:
		d.Body = &Datagram_TermsReport{TermsReport: &TermsReport{Terms: encodeTerms(body.Terms)}}
	case modeler.Digest:
		d.Body = &Datagram_Digest{Digest: encodeDigest(body)}
	}
	return d
}

func encodeRequest(now time.Time, r modeler.Request) *Request {
	tried := make([]string, 0, len(r.Tried))
	for _, e := range r.Tried {
		tried = append(tried, string(e))
	}
	return &Request{
		Id: string(r.ID), Node: string(r.Node), Service: string(r.Service), Kind: uint32(r.Kind),
		Prompt: int64(r.Prompt), Output: int64(r.Output),
		Age: now.Sub(r.Arrived).Microseconds(), Due: r.Due.Sub(now).Microseconds(), Deadline: r.Deadline.Sub(now).Microseconds(),
		Gap: r.Gap.Microseconds(), Priority: int32(r.Priority), Fingerprint: uint64(r.Fingerprint), Tried: tried,
		DataCentre: string(r.DataCentre), SharedParts: encodeFingerprints(r.SharedParts), RepeatsBroken: r.RepeatsBroken,
		Borrows: r.Borrows, CostGroup: r.Cost.Group, CostSubgroup: r.Cost.Subgroup, CostSpecial: r.Cost.Special, CostOwner: r.Cost.Owner,
	}
}

func encodeFingerprints(list []modeler.Fingerprint) []uint64 {
	encoded := make([]uint64, 0, len(list))
	for _, f := range list {
		encoded = append(encoded, uint64(f))
	}
	return encoded
}

func encodePlan(p modeler.Plan) *Plan {
	helpers := make([]string, 0, len(p.Helpers))
	for _, h := range p.Helpers {
		helpers = append(helpers, string(h.ID))
	}
	held := make([]int64, 0, len(p.Reserved))
	for _, h := range p.Reserved {
		held = append(held, int64(h))
	}
	return &Plan{Endpoint: string(p.Endpoint.ID), Helpers: helpers, Held: held, Part: p.PartPrefill.Microseconds(), First: p.TimeToFirstEvent.Microseconds(), Late: p.Late}
}

func encodeNode(n modeler.Node) *Node {
	return &Node{
		Id: string(n.ID), Incarnation: n.Incarnation, Rank: int64(n.Rank), PeerAddress: n.PeerAddress, CallerAddress: n.CallerAddress,
		DataCentre: string(n.DataCentre), Region: n.Region, Leaving: n.Leaving,
		MilliCores: int32(n.MilliCores),
	}
}

func encodeBeat(now time.Time, body modeler.Beat) *Beat {
	beat := &Beat{
		Node: encodeNode(body.Node), Coordinates: body.Coordinates, ReadsForAll: body.ReadsForAll, Suspects: encodeSuspects(body.Suspects),
		Terms: encodeTerms(body.Terms), Holds: uint64(body.Holds), HoldsVersion: body.HoldsVersion, Part: uint32(body.Part.Index), Parts: uint32(body.Part.Count),
	}
	for _, k := range body.ReadPositions {
		beat.Known = append(beat.Known, &Known{End: int64(k.End), Material: int64(k.LastChangeEnd), Age: k.Age.Microseconds()})
	}
	for _, a := range body.Running {
		beat.Running = append(beat.Running, &Assignment{
			Request: encodeRequest(now, a.Request), Plan: encodePlan(a.Plan), Age: now.Sub(a.Placed).Microseconds(), Started: !a.FirstEventAt.IsZero(),
		})
	}
	return beat
}

func encodeEndpointNews(body modeler.EndpointChanges) *EndpointNews {
	update := &EndpointNews{From: int64(body.From), Next: int64(body.Next)}
	for _, c := range body.Changes {
		e := c.Endpoint
		update.Changes = append(update.Changes, &EndpointChange{
			Id: string(e.ID), Service: string(e.Service), Address: e.Address, DataCentre: string(e.DataCentre), Slots: int32(e.Slots),
			Draining: e.Draining, Born: e.StartUnixMilli, ColdFor: c.ColdFor.Microseconds(), Offset: int64(c.Offset),
			Removed: c.Removed, Unreadable: c.Unreadable,
		})
	}
	return update
}

func encodeDigest(body modeler.Digest) *Digest {
	digest := &Digest{}
	for _, r := range body.Alive {
		node := encodeNode(r.Node)
		node.Age = r.Age.Microseconds()
		digest.Alive = append(digest.Alive, node)
	}
	for _, r := range body.AliveRanks {
		digest.AliveRanks = append(digest.AliveRanks, int64(r.Rank))
		// Rounded up, so that a report that passes through several nodes does not become newer.
		digest.AliveAgesMs = append(digest.AliveAgesMs, uint32((max(r.Age, 0)+time.Millisecond-1)/time.Millisecond))
	}
	for id, l := range body.Loads {
		digest.Loads = append(digest.Loads, &Load{
			Endpoint: string(id), Running: int32(l.Running), Memory: int64(l.Memory), Backlog: l.Backlog.Microseconds(), Gap: l.Gap.Microseconds(),
			Work: l.Work.Microseconds(),
		})
	}
	digest.Suspects, digest.SuspectsPartial = encodeSuspects(body.Suspects), body.SuspectsPartial
	digest.Terms = encodeTerms(body.Terms)
	for _, c := range body.Costs {
		digest.Costs = append(digest.Costs, &Cost{Group: c.Group, Subgroup: c.Subgroup, Value: float32(c.Value), Weight: float32(c.Weight)})
	}
	return digest
}

func encodeTerms(list []modeler.ReportedTerms) []*Terms {
	encoded := make([]*Terms, 0, len(list))
	for _, t := range list {
		encoded = append(encoded, &Terms{
			Endpoint: string(t.Endpoint), Born: t.StartUnixMilli, Leaving: t.Leaving, Limited: t.Limited, Limit: t.Limit, Age: t.Age.Microseconds(),
		})
	}
	return encoded
}

// encodeProbe returns nil if there was no probe.
func encodeProbe(p modeler.ProbeReport) *Probe {
	if p.State == modeler.ProbeNone {
		return nil
	}
	return &Probe{
		Quarantine: int32(p.Quarantine), Number: int32(p.Number), Request: string(p.ID), State: uint32(p.State), Age: p.Age.Microseconds(),
	}
}

func encodeSuspects(list []modeler.Suspect) []*Suspect {
	encoded := make([]*Suspect, 0, len(list))
	for _, s := range list {
		encoded = append(encoded, &Suspect{
			Fingerprint: uint64(s.Fingerprint), Count: int32(s.Count), SharedPart: s.SharedPart, QuarantinedFor: s.QuarantinedFor.Microseconds(),
			Companions: encodeFingerprints(s.Companions), Requests: encodeFingerprints(s.Requests), Age: s.Age.Microseconds(),
			Quarantines: int32(s.Quarantines), Probe: encodeProbe(s.Probe), Confirmed: s.Probe.State == modeler.ProbeBroke,
		})
	}
	return encoded
}
