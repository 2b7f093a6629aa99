package measurer

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/peer/messenger"
)

// fixedAnswers responds to every batch with the same messages.
type fixedAnswers []modeler.Message

func (a fixedAnswers) Exchange(context.Context, modeler.PeerReceived) ([]modeler.Message, error) {
	return a, nil
}

var load = modeler.EndpointLoad{Reserved: 310_000, Prefill: 20_000, UrgentPrefill: 9_000, LongTokens: 120_000, Running: 98, Unconfirmed: 1}

func digestMessages(nodes, endpoints int) []modeler.Message {
	return []modeler.Message{
		modeler.Digest{
			Rules: 12_345, Beat: 100_000,
			Nodes: generate(nodes, func(i int) modeler.NodeDigest {
				return modeler.NodeDigest{Sender: modeler.Sender{ID: nodeID(i)}, Beat: 100_000}
			}),
			Endpoints: generate(endpoints, func(i int) modeler.EndpointDigest {
				return modeler.EndpointDigest{ID: endpointID(i), Holder: nodeID(1), Term: 12, Phase: modeler.Warm, BootID: "0199f3c2a000", Load: load}
			}),
		},
		modeler.VouchAsk{Nonce: 1 << 20},
	}
}

// messages returns n messages as an interface slice.
func messages[M modeler.Message](n int, value func(int) M) []modeler.Message {
	return generate(n, func(i int) modeler.Message { return value(i) })
}

func transfer(i int) modeler.TransferSent {
	id := modeler.TransferID(fmt.Sprintf("%s>%s#%d", nodeID(1), nodeID(2), 10_000+i))
	return modeler.TransferSent{Transfer: modeler.Transfer{ID: id, Member: memberID(i), From: nodeID(1), To: nodeID(2), Amount: 60_000, Seq: 10_000}}
}

func rulesText(members int) string {
	var text strings.Builder
	text.WriteString("fleet tokens=264000000 # Vera, fleet of two years\n")
	for i := range members {
		_, _ = fmt.Fprintf(&text, "share %s percent=0.0%d # Vera, contract of the team\n", memberID(i), 1+i%9)
	}
	return text.String()
}

// BenchmarkExchange measures one exchange between two nodes over an open loopback connection, by kind and number of messages.
func BenchmarkExchange(b *testing.B) {
	batchSizes := []int{1, 4, 16}
	vouch := []modeler.Message{modeler.Vouch{For: nodeID(1), Nonce: 1 << 20}}
	for _, c := range []struct {
		name, key string
		sizes     []int
		ask       func(n int) []modeler.Message
		answer    func(n int) []modeler.Message
	}{
		{"gossip", "nodes", []int{0, 8, 16}, func(n int) []modeler.Message { return digestMessages(n, 0) }, func(int) []modeler.Message { return vouch }},
		{"gossip", "endpoints", []int{0, 2, 20}, func(n int) []modeler.Message { return digestMessages(0, n) }, func(int) []modeler.Message { return vouch }},
		{"permit", "messages", batchSizes, func(n int) []modeler.Message {
			return messages(n, func(i int) modeler.PermitAsk {
				return modeler.PermitAsk{Attempt: attemptID(i), Request: requestID(i), Endpoint: endpointID(i), Tokens: 9_000, Prompt: 8_500, Class: modeler.Medium, Remaining: time.Minute}
			})
		}, func(n int) []modeler.Message {
			return messages(n, func(i int) modeler.PermitGiven {
				return modeler.PermitGiven{Attempt: attemptID(i), Endpoint: endpointID(i), Term: 12, Load: load}
			})
		}},
		{"confirm", "messages", batchSizes, func(n int) []modeler.Message {
			return messages(n, func(i int) modeler.PermitConfirm {
				return modeler.PermitConfirm{Attempt: attemptID(i), Endpoint: endpointID(i), BootID: "0199f3c2a000"}
			})
		}, nil},
		{"release", "messages", batchSizes, func(n int) []modeler.Message {
			return messages(n, func(i int) modeler.PermitRelease {
				return modeler.PermitRelease{Attempt: attemptID(i), Endpoint: endpointID(i), Completed: true}
			})
		}, func(n int) []modeler.Message {
			return messages(n, func(i int) modeler.PermitReleased { return modeler.PermitReleased{Attempt: attemptID(i)} })
		}},
		{"borrow", "messages", batchSizes, func(n int) []modeler.Message {
			return messages(n, func(i int) modeler.BorrowAsk {
				return modeler.BorrowAsk{Member: memberID(i), Amount: 60_000, Waited: time.Second}
			})
		}, func(n int) []modeler.Message { return messages(n, transfer) }},
		{"transfer", "messages", batchSizes, func(n int) []modeler.Message { return messages(n, transfer) }, func(n int) []modeler.Message {
			return messages(n, func(i int) modeler.TransferAck { return modeler.TransferAck{ID: transfer(i).Transfer.ID} })
		}},
		{"acknowledge", "messages", batchSizes, func(n int) []modeler.Message {
			return messages(n, func(i int) modeler.TransferAck { return modeler.TransferAck{ID: transfer(i).Transfer.ID} })
		}, nil},
		{"debt", "messages", batchSizes, func(n int) []modeler.Message {
			return messages(n, func(i int) modeler.DebtAsk { return modeler.DebtAsk{Member: memberID(i)} })
		}, func(n int) []modeler.Message {
			return messages(n, func(i int) modeler.DebtPaid { return modeler.DebtPaid{Member: memberID(i), Offset: 100_000} })
		}},
		{"promise", "flows", []int{0, 17, 100}, func(int) []modeler.Message { return []modeler.Message{modeler.PromiseAsk{Node: nodeID(3)}} }, func(n int) []modeler.Message {
			return []modeler.Message{modeler.Promise{Node: nodeID(3), Flows: generate(n, func(i int) modeler.Flow {
				return modeler.Flow{Member: memberID(i), Sent: 60_000}
			})}}
		}},
		{"rules", "members", []int{10, 570, 5_700}, func(int) []modeler.Message { return []modeler.Message{modeler.RulesAsk{Have: 12_344}} }, func(n int) []modeler.Message {
			return []modeler.Message{modeler.RulesFile{Version: 12_345, Text: rulesText(n)}}
		}},
	} {
		runSizes(b, c.name, c.key, c.sizes, func(b *testing.B, n int) {
			var answer fixedAnswers
			if c.answer != nil {
				answer = c.answer(n)
			}
			exchange(b, c.ask(n), answer)
		})
	}
}

// exchange sends the messages in a loop and waits for each answer.
func exchange(b *testing.B, ask []modeler.Message, answer fixedAnswers) {
	b.Helper()
	address := serve(b, messenger.NewHandler(sender(2), answer))
	m := newMeter(b)
	done := make(chan modeler.Event, 1)
	peers, stop := messenger.New(messenger.Options{
		Self: sender(1), Client: m.client(), Scheme: "http", Post: func(e modeler.Event) { done <- e },
	})
	defer stop()
	send := func() {
		peers.Send(nodeID(2), address, ask)
		_, answered := (<-done).(modeler.PeerAnswered)
		assert.Assert(b, answered)
	}
	send()
	m.start()
	for b.Loop() {
		send()
	}
	m.report(b)
}
