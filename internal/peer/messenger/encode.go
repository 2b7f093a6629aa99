package messenger

import "damaskpick.example/damaskpick/internal/control/modeler"

func encodeBatch(from modeler.Sender, messages []modeler.Message) *Batch {
	batch := &Batch{From: encodeSender(from), Messages: make([]*Message, 0, len(messages))}
	for _, m := range messages {
		if encoded := encodeMessage(m); encoded != nil {
			batch.Messages = append(batch.Messages, encoded)
		}
	}
	return batch
}

func encodeSender(s modeler.Sender) *Sender {
	return &Sender{Id: string(s.ID), Address: s.Address, PublicUrl: s.PublicURL, DataCentre: string(s.DataCentre)}
}

// encodeMessage returns nil for a message that is not part of the protocol.
func encodeMessage(message modeler.Message) *Message {
	switch m := message.(type) {
	case modeler.Digest:
		return &Message{Kind: &Message_Digest{encodeDigest(m)}}
	case modeler.VouchAsk:
		return &Message{Kind: &Message_VouchAsk{&VouchAsk{Nonce: m.Nonce}}}
	case modeler.Vouch:
		return &Message{Kind: &Message_Vouch{&Vouch{For: string(m.For), Nonce: m.Nonce}}}
	case modeler.PromiseAsk:
		return &Message{Kind: &Message_PromiseAsk{&PromiseAsk{Node: string(m.Node)}}}
	case modeler.Promise:
		return &Message{Kind: &Message_Promise{encodePromise(m)}}
	case modeler.BorrowAsk:
		return &Message{Kind: &Message_BorrowAsk{&BorrowAsk{
			Member: string(m.Member), Amount: int64(m.Amount), Waited: int64(m.Waited),
		}}}
	case modeler.BorrowRefusal:
		return &Message{Kind: &Message_BorrowRefusal{&BorrowRefusal{Member: string(m.Member)}}}
	case modeler.TransferSent:
		return &Message{Kind: &Message_Transfer{encodeTransfer(m.Transfer)}}
	case modeler.TransferAck:
		return &Message{Kind: &Message_TransferAck{&TransferAck{Id: string(m.ID)}}}
	case modeler.DebtAsk:
		return &Message{Kind: &Message_DebtAsk{&DebtAsk{Member: string(m.Member)}}}
	case modeler.DebtPaid:
		return &Message{Kind: &Message_DebtPaid{&DebtPaid{Member: string(m.Member), Offset: m.Offset}}}
	case modeler.RulesAsk:
		return &Message{Kind: &Message_RulesAsk{&RulesAsk{Have: int64(m.Have)}}}
	case modeler.RulesFile:
		return &Message{Kind: &Message_RulesFile{&RulesFile{Version: int64(m.Version), Text: m.Text}}}
	}
	return encodePermitMessage(message)
}

func encodePermitMessage(message modeler.Message) *Message {
	switch m := message.(type) {
	case modeler.PermitAsk:
		return &Message{Kind: &Message_PermitAsk{&PermitAsk{
			Attempt: string(m.Attempt), Request: string(m.Request), Endpoint: string(m.Endpoint), Tokens: int64(m.Tokens),
			Prompt: int64(m.Prompt), Class: uint32(m.Class), Suspect: m.Suspect, Remaining: int64(m.Remaining),
			SeenRunning: int64(m.Seen.Running), SeenLongPrefill: m.Seen.LongPrefill, AnyLoad: m.Seen.Any,
		}}}
	case modeler.PermitGiven:
		return &Message{Kind: &Message_PermitGiven{&PermitGiven{
			Attempt: string(m.Attempt), Endpoint: string(m.Endpoint), Term: uint64(m.Term), Load: encodeLoad(m.Load),
		}}}
	case modeler.PermitRefused:
		return &Message{Kind: &Message_PermitRefused{&PermitRefused{
			Attempt: string(m.Attempt), Endpoint: string(m.Endpoint), Reason: uint32(m.Reason), Load: encodeLoad(m.Load),
		}}}
	case modeler.PermitConfirm:
		return &Message{Kind: &Message_PermitConfirm{&PermitConfirm{
			Attempt: string(m.Attempt), Endpoint: string(m.Endpoint), BootId: m.BootID, Cold: m.Cold, FirstToken: m.FirstToken,
		}}}
	case modeler.PermitRelease:
		return &Message{Kind: &Message_PermitRelease{&PermitRelease{
			Attempt: string(m.Attempt), Endpoint: string(m.Endpoint), Completed: m.Completed, Died: m.Died,
		}}}
	case modeler.PermitReleased:
		return &Message{Kind: &Message_PermitReleased{&PermitReleased{Attempt: string(m.Attempt)}}}
	}
	return nil
}

func encodeDigest(m modeler.Digest) *Digest {
	d := &Digest{Rules: int64(m.Rules), Leaving: m.Leaving, Beat: m.Beat}
	for _, e := range m.Endpoints {
		d.Endpoints = append(d.Endpoints, &EndpointDigest{
			Id: string(e.ID), Holder: string(e.Holder), Term: uint64(e.Term), Phase: uint32(e.Phase), BootId: e.BootID,
			Load: encodeLoad(e.Load), SweptTo: e.SweptTo, Age: int64(e.Age),
		})
	}
	for _, n := range m.Nodes {
		d.Nodes = append(d.Nodes, &NodeDigest{
			Sender: encodeSender(n.Sender), Leaving: n.Leaving, Beat: n.Beat,
		})
	}
	for _, q := range m.Quarantined {
		d.Quarantined = append(d.Quarantined, &Quarantine{Fingerprint: q.Fingerprint, Remaining: int64(q.Remaining)})
	}
	return d
}

func encodeLoad(l modeler.EndpointLoad) *Load {
	return &Load{
		Reserved: int64(l.Reserved), Prefill: int64(l.Prefill), UrgentPrefill: int64(l.UrgentPrefill),
		LongTokens: int64(l.LongTokens), Running: int64(l.Running), Unconfirmed: int64(l.Unconfirmed),
	}
}

func encodePromise(m modeler.Promise) *Promise {
	p := &Promise{Node: string(m.Node), Refused: m.Refused}
	for _, f := range m.Flows {
		p.Flows = append(p.Flows, &Flow{Member: string(f.Member), Sent: int64(f.Sent), Received: int64(f.Received)})
	}
	return p
}

func encodeTransfer(t modeler.Transfer) *Transfer {
	return &Transfer{
		Id: string(t.ID), Member: string(t.Member), From: string(t.From), To: string(t.To), Amount: int64(t.Amount),
		Seq: t.Seq,
	}
}
