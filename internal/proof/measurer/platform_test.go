package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/backing/appender"
	"damaskpick.example/damaskpick/internal/backing/lister"
	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/emulation/simulator"
	"damaskpick.example/damaskpick/internal/endpoint/streamer"
	"damaskpick.example/damaskpick/internal/settings/loader"
	"damaskpick.example/damaskpick/internal/web/handler"
)

// newRecord returns a record of the given kind. If the kind has a part of variable length, n is its length.
func newRecord(kind string, n int) any {
	call := modeler.Call{
		Member: memberID(1), Key: string(requestID(1)), KeyTime: time.Unix(1_800_000_000, 123_456_789), BodyHash: 1 << 60, Attempt: attemptID(1),
		Node: nodeID(1), Deadline: time.Unix(1_800_000_060, 123_456_789),
	}
	switch kind {
	case "register":
		return modeler.NodeRegistered{Node: sender(1)}
	case "hold":
		return modeler.HoldClaimed{Endpoint: endpointID(1), Term: 12, Node: nodeID(1)}
	case "intent":
		return modeler.CallIntent{Call: call}
	case "outcome":
		return modeler.CallFinished{Call: call, Outcome: modeler.CallOutcome{Ran: true, Known: true, Status: 200, ContentType: "application/json", Body: make([]byte, n)}}
	case "mint":
		return modeler.Minted{Version: 12_345, Base: 12_344, By: nodeID(1), Changes: generate(n, func(i int) modeler.Balance {
			return modeler.Balance{Member: memberID(i), Amount: 50_000}
		})}
	case "reclaim":
		return modeler.NodeReclaim{Node: nodeID(1), By: nodeID(2), Promised: generate(n, nodeID), Wait: modeler.ReclaimDelay}
	default:
		return modeler.RulesPublished{PublishID: string(requestID(1)), Base: 12_344, Author: "vera", Text: rulesText(n)}
	}
}

// BenchmarkAppend measures one append to the log stand-in over an open loopback connection.
func BenchmarkAppend(b *testing.B) {
	for _, c := range []struct {
		kind, key string
		sizes     []int
	}{
		{"register", "none", []int{0}}, {"hold", "none", []int{0}}, {"intent", "none", []int{0}}, {"outcome", "body", []int{0, 300, 3_000}},
		{"mint", "members", []int{1, 10, 100}}, {"reclaim", "nodes", []int{9, 90, 330}}, {"rules", "members", []int{10, 570, 5_700}},
	} {
		runSizes(b, c.kind, c.key, c.sizes, func(b *testing.B, n int) {
			m, client := newLog(b)
			value := newRecord(c.kind, n)
			appendRecord := func() {
				_, err := client.Append(context.Background(), "s", value)
				assert.NilError(b, err)
			}
			appendRecord()
			m.start()
			for b.Loop() {
				appendRecord()
			}
			m.report(b)
		})
	}
}

func newLog(b *testing.B) (*meter, *appender.Client) {
	b.Helper()
	log, stop := simulator.NewLog(simulator.LogOptions{MaxRecords: 200})
	b.Cleanup(stop)
	m := newMeter(b)
	client, closeClient, err := appender.New(appender.Options{BaseURL: "http://" + serve(b, log), NodeID: nodeID(1), Dial: m.dial()})
	assert.NilError(b, err)
	b.Cleanup(closeClient)
	return &m, client
}

// BenchmarkRead measures one read of the log, both at the end of the stream and with records.
func BenchmarkRead(b *testing.B) {
	for _, c := range []struct {
		kind, key string
		sizes     []int
		variable  bool
	}{
		{"register", "records", []int{0, 10, 100}, false}, {"hold", "records", []int{0, 10, 100}, false},
		{"intent", "records", []int{0, 10, 100}, false}, {"outcome", "records", []int{0, 10, 100}, false},
		{"one-outcome", "body", []int{0, 300, 3_000}, true}, {"one-mint", "members", []int{1, 10, 100}, true}, {"one-rules", "members", []int{10, 570, 5_700}, true},
	} {
		runSizes(b, c.kind, c.key, c.sizes, func(b *testing.B, n int) {
			m, client := newLog(b)
			kind, records, size := c.kind, n, 0
			if c.variable {
				kind, records, size = c.kind[len("one-"):], 1, n
			}
			for range records {
				_, err := client.Append(context.Background(), "control", newRecord(kind, size))
				assert.NilError(b, err)
			}
			read := func() {
				page, err := client.Read(context.Background(), "control", 1, 100, time.Millisecond)
				assert.NilError(b, err)
				assert.Equal(b, len(page.Records), records)
			}
			read()
			m.start()
			for b.Loop() {
				read()
			}
			m.report(b)
		})
	}
}

// BenchmarkInstances measures one reading of the instance list.
func BenchmarkInstances(b *testing.B) {
	runSizes(b, "list", "instances", []int{20, 200, 660}, func(b *testing.B, n int) {
		list, stop := simulator.NewInstances(simulator.InstancesOptions{Instances: generate(n, func(i int) simulator.Instance {
			return simulator.Instance{Name: string(endpointID(i)), Address: fmt.Sprintf("10.20.2.%d:8000", i%250), Kind: "engine", DataCentre: "bud-a", State: "live"}
		})})
		defer stop()
		m := newMeter(b)
		client, closeClient, err := lister.New(lister.Options{BaseURL: "http://" + serve(b, list), Client: m.client()})
		assert.NilError(b, err)
		defer closeClient()
		read := func() {
			instances, err := client.List(context.Background())
			assert.NilError(b, err)
			assert.Equal(b, len(instances), n)
		}
		read()
		m.start()
		for b.Loop() {
			read()
		}
		m.report(b)
	})
}

// BenchmarkReport measures one report of an engine by the number of its requests. Sent and received are from the engine's side.
func BenchmarkReport(b *testing.B) {
	runSizes(b, "engine", "requests", []int{0, 20, 100}, func(b *testing.B, n int) {
		type runningRequest struct {
			Attempt modeler.AttemptID
			Node    modeler.NodeID
			Tokens  modeler.Tokens
		}
		body, err := json.Marshal(map[string]any{"BootID": "0199f3c2a000", "Requests": generate(n, func(i int) runningRequest {
			return runningRequest{attemptID(i), nodeID(i), 9_000}
		})})
		assert.NilError(b, err)
		m := newMeter(b)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(body)
		}))
		server.Listener = m.traffic.Listen(server.Listener)
		server.Start()
		defer server.Close()
		client, stop, err := streamer.New(streamer.Options{})
		assert.NilError(b, err)
		defer stop()
		read := func() {
			report, err := client.Requests(context.Background(), server.Listener.Addr().String())
			assert.NilError(b, err)
			assert.Equal(b, len(report.Attempts), n)
		}
		read()
		m.start()
		for b.Loop() {
			read()
		}
		m.report(b)
	})
}

// BenchmarkAddresses measures one request of a caller for the addresses of the nodes.
func BenchmarkAddresses(b *testing.B) {
	runSizes(b, "question", "nodes", []int{9, 90, 330}, func(b *testing.B, n int) {
		snapshot := &modeler.Snapshot{Self: modeler.Self{Sender: sender(0)}, Nodes: generate(n, func(i int) modeler.Node {
			return modeler.Node{ID: nodeID(i), Registered: true}.WithSender(sender(i))
		})}
		const hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08" // SHA-256 of "test"
		h, err := handler.New(handler.Options{
			Snapshot: func() *modeler.Snapshot { return snapshot }, Log: zerolog.Nop(),
			Credentials: []loader.Credential{{SHA256: hash, Member: memberID(1)}},
		})
		assert.NilError(b, err)
		m := newMeter(b)
		client, url := m.client(), "http://"+serve(b, h)+"/v1/addresses?DataCentre=bud-a"
		ask := func() {
			request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
			assert.NilError(b, err)
			request.Header.Set("Authorization", "Bearer test")
			response, err := client.Do(request)
			assert.NilError(b, err)
			var answer struct{ Addresses []struct{ URL string } }
			assert.NilError(b, json.NewDecoder(response.Body).Decode(&answer))
			assert.NilError(b, response.Body.Close())
			assert.Equal(b, len(answer.Addresses), n)
		}
		ask()
		m.start()
		for b.Loop() {
			ask()
		}
		m.report(b)
	})
}
