package measurer

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/telemetry/counter"
	"damaskpick.example/damaskpick/internal/web/listener"
)

// IDs have the form and length that they reach after two years of deployment.
func nodeID(i int) modeler.NodeID         { return modeler.NodeID(fmt.Sprintf("entry-%03d/do4qkzs1x2mw", i)) }
func endpointID(i int) modeler.EndpointID { return modeler.EndpointID(fmt.Sprintf("engine-%03d", i)) }
func memberID(i int) modeler.MemberID     { return modeler.MemberID(fmt.Sprintf("team-%05d", i)) }
func requestID(i int) modeler.RequestID {
	return modeler.RequestID(fmt.Sprintf("0199f3c2-a000-7000-8000-%012d", i))
}

func attemptID(i int) modeler.AttemptID {
	return modeler.AttemptID(string(requestID(i)) + "#" + string(requestID(i)))
}

func sender(i int) modeler.Sender {
	address := fmt.Sprintf("10.20.1.%d", i%250)
	return modeler.Sender{ID: nodeID(i), Address: address + ":7000", PublicURL: "https://" + address, DataCentre: "bud-a"}
}

// generate returns value(0) to value(n-1).
func generate[T any](n int, value func(int) T) []T {
	values := make([]T, 0, n)
	for i := range n {
		values = append(values, value(i))
	}
	return values
}

// serve serves a handler with the listener that a node uses, and returns its address.
func serve(b *testing.B, handler http.Handler) string {
	b.Helper()
	server, stop, err := listener.Listen(listener.Options{Address: "127.0.0.1:0", Handler: handler, Log: zerolog.Nop()})
	assert.NilError(b, err)
	b.Cleanup(stop)
	return server.Address()
}

// meter measures the bytes of a group of connections and the processor time of the process, which includes both ends of each
// connection.
type meter struct {
	traffic        counter.Traffic
	sent, received uint64
	cpuTime        time.Duration
}

func newMeter(b *testing.B) meter { return meter{traffic: counter.New(b.Name())} }

// dial returns a dial function that counts the bytes of its connections.
func (m *meter) dial() counter.DialFunc { return m.traffic.Dial((&net.Dialer{}).DialContext) }

func (m *meter) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: m.dial(), MaxIdleConnsPerHost: 8}}
}

// start begins the measurement. It is called after the connection is open, so that its setup does not count.
func (m *meter) start() {
	m.sent, m.received, m.cpuTime = m.traffic.Sent.Get(), m.traffic.Received.Get(), processorTime()
}

// report reports the bytes and the processor time per exchange.
func (m *meter) report(b *testing.B) {
	n := float64(b.N)
	b.ReportMetric(float64(m.traffic.Sent.Get()-m.sent)/n, "sent-B/exchange")
	b.ReportMetric(float64(m.traffic.Received.Get()-m.received)/n, "received-B/exchange")
	b.ReportMetric(float64((processorTime()-m.cpuTime).Nanoseconds())/n, "cpu-ns/exchange")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runSizes runs a benchmark once for each size.
func runSizes(b *testing.B, name, key string, list []int, run func(b *testing.B, size int)) {
	b.Helper()
	for _, size := range list {
		b.Run(fmt.Sprintf("%s/%s=%d", name, key, size), func(b *testing.B) { run(b, size) })
	}
}
