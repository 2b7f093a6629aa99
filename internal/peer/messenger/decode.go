package messenger

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

func decodeBatch(batch *Batch) (modeler.Sender, []modeler.Message) {
	messages := make([]modeler.Message, 0, len(batch.GetMessages()))
	for _, m := range batch.GetMessages() {
		if decoded := decodeMessage(m); decoded != nil {
			messages = append(messages, decoded)
		}
	}
	return decodeSender(batch.GetFrom()), messages
}

func decodeSender(s *Sender) modeler.Sender {
	return modeler.Sender{
		ID: modeler.NodeID(s.GetId()), Address: s.GetAddress(), PublicURL: s.GetPublicUrl(),
		DataCentre: modeler.DataCentreID(s.GetDataCentre()),
	}
}

// decodeMessage returns nil for a message kind that this version does not know.
func decodeMessage(message *Message) modeler.Message {
	switch k := message.GetKind().(type) {
	case *Message_Digest:
		return decodeDigest(k.Digest)
	case *Message_VouchAsk:
		return modeler.VouchAsk{Nonce: k.VouchAsk.GetNonce()}
	case *Message_Vouch:
		return modeler.Vouch{For: modeler.NodeID(k.Vouch.GetFor()), Nonce: k.Vouch.GetNonce()}
	case *Message_PromiseAsk:
		return modeler.PromiseAsk{Node: modeler.NodeID(k.PromiseAsk.GetNode())}
	case *Message_Promise:
		return decodePromise(k.Promise)
	case *Message_BorrowAsk:
		return modeler.BorrowAsk{
			Member: modeler.MemberID(k.BorrowAsk.GetMember()), Amount: modeler.Tokens(k.BorrowAsk.GetAmount()),
			Waited: time.Duration(k.BorrowAsk.GetWaited()),
		}
	case *Message_BorrowRefusal:
		return modeler.BorrowRefusal{Member: modeler.MemberID(k.BorrowRefusal.GetMember())}
	case *Message_Transfer:
		return modeler.TransferSent{Transfer: decodeTransfer(k.Transfer)}
	case *Message_TransferAck:
		return modeler.TransferAck{ID: modeler.TransferID(k.TransferAck.GetId())}
	case *Message_DebtAsk:
		return modeler.DebtAsk{Member: modeler.MemberID(k.DebtAsk.GetMember())}
	case *Message_DebtPaid:
		return modeler.DebtPaid{Member: modeler.MemberID(k.DebtPaid.GetMember()), Offset: k.DebtPaid.GetOffset()}
	case *Message_RulesAsk:
		return modeler.RulesAsk{Have: modeler.Version(k.RulesAsk.GetHave())}
	case *Message_RulesFile:
		return modeler.RulesFile{Version: modeler.Version(k.RulesFile.GetVersion()), Text: k.RulesFile.GetText()}
	}
	return decodePermitMessage(message)
}

func decodePermitMessage(message *Message) modeler.Message {
	switch k := message.GetKind().(type) {
	case *Message_PermitAsk:
		m := k.PermitAsk
		return modeler.PermitAsk{
			Attempt: modeler.AttemptID(m.GetAttempt()), Request: modeler.RequestID(m.GetRequest()),
			Endpoint: modeler.EndpointID(m.GetEndpoint()), Tokens: modeler.Tokens(m.GetTokens()),
			Prompt: modeler.Tokens(m.GetPrompt()), Class: modeler.LengthClass(min(m.GetClass(), uint32(modeler.Huge))),
			Suspect: m.GetSuspect(), Remaining: time.Duration(m.GetRemaining()),
			Seen: modeler.SeenLoad{Running: int(m.GetSeenRunning()), LongPrefill: m.GetSeenLongPrefill(), Any: m.GetAnyLoad()},
		}
	case *Message_PermitGiven:
		m := k.PermitGiven
		return modeler.PermitGiven{
			Attempt: modeler.AttemptID(m.GetAttempt()), Endpoint: modeler.EndpointID(m.GetEndpoint()),
			Term: modeler.Term(m.GetTerm()), Load: decodeLoad(m.GetLoad()),
		}
	case *Message_PermitRefused:
		m := k.PermitRefused
		return modeler.PermitRefused{
			Attempt: modeler.AttemptID(m.GetAttempt()), Endpoint: modeler.EndpointID(m.GetEndpoint()),
			Reason: modeler.PermitReason(m.GetReason()), Load: decodeLoad(m.GetLoad()),
		}
	case *Message_PermitConfirm:
		m := k.PermitConfirm
		return modeler.PermitConfirm{
			Attempt: modeler.AttemptID(m.GetAttempt()), Endpoint: modeler.EndpointID(m.GetEndpoint()),
			BootID: m.GetBootId(), Cold: m.GetCold(), FirstToken: m.GetFirstToken(),
		}
	case *Message_PermitRelease:
		m := k.PermitRelease
		return modeler.PermitRelease{
			Attempt: modeler.AttemptID(m.GetAttempt()), Endpoint: modeler.EndpointID(m.GetEndpoint()),
			Completed: m.GetCompleted(), Died: m.GetDied(),
		}
	case *Message_PermitReleased:
		return modeler.PermitReleased{Attempt: modeler.AttemptID(k.PermitReleased.GetAttempt())}
	}
	return nil
}

func decodeDigest(d *Digest) modeler.Digest {
	m := modeler.Digest{Rules: modeler.Version(d.GetRules()), Leaving: d.GetLeaving(), Beat: d.GetBeat()}
	for _, e := range d.GetEndpoints() {
		m.Endpoints = append(m.Endpoints, modeler.EndpointDigest{
			ID: modeler.EndpointID(e.GetId()), Holder: modeler.NodeID(e.GetHolder()), Term: modeler.Term(e.GetTerm()),
			Phase: modeler.EndpointPhase(e.GetPhase()), BootID: e.GetBootId(), Load: decodeLoad(e.GetLoad()),
			SweptTo: e.GetSweptTo(), Age: time.Duration(e.GetAge()),
		})
	}
	for _, n := range d.GetNodes() {
		m.Nodes = append(m.Nodes, modeler.NodeDigest{
			Sender: decodeSender(n.GetSender()), Leaving: n.GetLeaving(),
			Beat: n.GetBeat(),
		})
	}
	for _, q := range d.GetQuarantined() {
		m.Quarantined = append(m.Quarantined, modeler.Quarantine{
			Fingerprint: q.GetFingerprint(), Remaining: time.Duration(q.GetRemaining()),
		})
	}
	return m
}

func decodeLoad(l *Load) modeler.EndpointLoad {
	return modeler.EndpointLoad{
		Reserved: modeler.Tokens(l.GetReserved()), Prefill: modeler.Tokens(l.GetPrefill()),
		UrgentPrefill: modeler.Tokens(l.GetUrgentPrefill()), LongTokens: modeler.Tokens(l.GetLongTokens()),
		Running: int(l.GetRunning()), Unconfirmed: int(l.GetUnconfirmed()),
	}
}

func decodePromise(p *Promise) modeler.Promise {
	m := modeler.Promise{Node: modeler.NodeID(p.GetNode()), Refused: p.GetRefused()}
	for _, f := range p.GetFlows() {
		m.Flows = append(m.Flows, modeler.Flow{
			Member: modeler.MemberID(f.GetMember()), Sent: modeler.Tokens(f.GetSent()), Received: modeler.Tokens(f.GetReceived()),
		})
	}
	return m
}

func decodeTransfer(t *Transfer) modeler.Transfer {
	return modeler.Transfer{
		ID: modeler.TransferID(t.GetId()), Member: modeler.MemberID(t.GetMember()), From: modeler.NodeID(t.GetFrom()),
		To: modeler.NodeID(t.GetTo()), Amount: modeler.Tokens(t.GetAmount()), Seq: t.GetSeq(),
	}
}
