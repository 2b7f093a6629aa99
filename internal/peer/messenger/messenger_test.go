package messenger

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// TestBatchRoundTrip guards against a field or a message kind that encoding or decoding leaves out.
func TestBatchRoundTrip(t *testing.T) {
	load := modeler.EndpointLoad{Reserved: 1, Prefill: 2, UrgentPrefill: 3, LongTokens: 4, Running: 5, Unconfirmed: 6}
	sender := modeler.Sender{ID: "a/1", Address: "127.0.0.1:1", PublicURL: "http://a", DataCentre: "east"}
	messages := []modeler.Message{
		modeler.Digest{
			Rules:       7,
			Endpoints:   []modeler.EndpointDigest{{ID: "e", Holder: "a/1", Term: 2, Phase: modeler.Warm, BootID: "b", Load: load, SweptTo: 14, Age: time.Second}},
			Nodes:       []modeler.NodeDigest{{Sender: sender, Leaving: true, Beat: 12}},
			Quarantined: []modeler.Quarantine{{Fingerprint: 9, Remaining: time.Minute}},
			Leaving:     true,
			Beat:        11,
		},
		modeler.VouchAsk{Nonce: 13},
		modeler.Vouch{For: "b/1", Nonce: 13},
		modeler.PromiseAsk{Node: "b/1"},
		modeler.Promise{Node: "b/1", Refused: true, Flows: []modeler.Flow{{Member: "m", Sent: 1, Received: 2}}},
		modeler.BorrowAsk{Member: "m", Amount: 3, Waited: time.Second},
		modeler.BorrowRefusal{Member: "m"},
		modeler.TransferSent{Transfer: modeler.Transfer{ID: "t", Member: "m", From: "a/1", To: "b/1", Amount: 4, Seq: 5}},
		modeler.TransferAck{ID: "t"},
		modeler.PermitAsk{Attempt: "r#1", Request: "r", Endpoint: "e", Tokens: 1, Prompt: 2, Class: modeler.Huge, Suspect: true, Remaining: time.Second, Seen: modeler.SeenLoad{Running: 7, LongPrefill: true, Any: true}},
		modeler.PermitGiven{Attempt: "r#1", Endpoint: "e", Term: 3, Load: load},
		modeler.PermitRefused{Attempt: "r#1", Endpoint: "e", Reason: modeler.LongFull, Load: load},
		modeler.PermitConfirm{Attempt: "r#1", Endpoint: "e", BootID: "b", Cold: true, FirstToken: true},
		modeler.PermitRelease{Attempt: "r#1", Endpoint: "e", Completed: true, Died: true},
		modeler.PermitReleased{Attempt: "r#1"},
		modeler.DebtAsk{Member: "m"},
		modeler.DebtPaid{Member: "m", Offset: 6},
		modeler.RulesAsk{Have: 1},
		modeler.RulesFile{Version: 2, Text: "x"},
	}
	from, decoded := decodeBatch(encodeBatch(sender, messages))
	assert.DeepEqual(t, from, sender)
	assert.DeepEqual(t, decoded, messages)
	seen := map[reflect.Type]bool{}
	for _, m := range decoded {
		seen[reflect.TypeOf(m)] = true
	}
	kinds := (&Message{}).ProtoReflect().Descriptor().Oneofs().ByName("kind").Fields().Len()
	assert.Equal(t, len(seen), kinds, "message kinds tested, compared with the kinds of the protocol")
}

// TestDecodeArbitraryBatch guards against a panic on a batch with unknown or missing values, as a newer or faulty node may send.
func TestDecodeArbitraryBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		class := rapid.Uint32().Draw(t, "class")
		batch := &Batch{Messages: []*Message{
			{}, {Kind: &Message_PermitAsk{&PermitAsk{Class: class}}}, {Kind: &Message_Digest{}},
		}}
		_, messages := decodeBatch(batch)
		ask := messages[0].(modeler.PermitAsk)
		assert.Assert(t, ask.Class.String() != "")
	})
}
