package soaker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/platform"
	"damaskpick.example/damaskpick/platform/platformtest"
)

const (
	// crowdSize is the number of clients outside the limits that are connected at once, each with a body of crowdBody bytes, the operators' limit.
	crowdSize = 96
	crowdBody = 1 << 20
	// crowdMemory is the memory limit of the node in bytes, and crowdDescriptors the most descriptors that it may have open.
	crowdMemory      = 100e6
	crowdDescriptors = 400
	// crowdTimeout bounds the sending of a client, and ordinaryTimeout the wait of the ordinary caller, so that a node that hangs fails the test.
	crowdTimeout    = 30 * time.Second
	ordinaryTimeout = 10 * time.Second
	settleTime      = 500 * time.Millisecond
)

// crowdClient sends a request outside the limits on a connection. It returns when it has sent what it means to, or when the node ends the connection.
type crowdClient func(conn net.Conn, head string)

// stopShort sends the body in pieces, but not its last byte.
func stopShort(piece int) crowdClient {
	return func(conn net.Conn, head string) {
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, crowdBody); err != nil {
			return
		}
		data := bytes.Repeat([]byte("x"), piece)
		for left := crowdBody - 1; left > 0; left -= len(data) {
			if _, err := conn.Write(data[:min(left, len(data))]); err != nil {
				return
			}
		}
	}
}

// stopShortChunked sends the body in chunks, but not the end of the last one.
func stopShortChunked(chunk int) crowdClient {
	return func(conn net.Conn, head string) {
		one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
		count := (crowdBody - 1) / chunk
		body := head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(one, count)
		_, _ = io.WriteString(conn, body[:len(body)-2])
	}
}

// sendWithoutEnd sends the head and then bytes until the node ends the connection.
func sendWithoutEnd(fields, piece string) crowdClient {
	return func(conn net.Conn, head string) {
		_, err := io.WriteString(conn, head+fields+"\r\n")
		for data := []byte(strings.Repeat(piece, 1+(64<<10)/len(piece))); err == nil; {
			_, err = conn.Write(data)
		}
	}
}

// readNothing sends a whole request and does not read its answer.
func readNothing(conn net.Conn, head string) {
	_, _ = io.WriteString(conn, head+"Content-Length: 0\r\n\r\n")
}

// sendNothing leaves a connection open.
func sendNothing(net.Conn, string) {}

// outsideLimits are the clients that operators have met. Each kind comes once with a credential and once without.
var outsideLimits = []struct {
	name string
	size int
	send crowdClient
}{
	{name: "whole body", size: crowdSize, send: stopShort(crowdBody)},
	{name: "body piece by piece", size: crowdSize, send: stopShort(8 << 10)},
	{name: "large chunks", size: crowdSize, send: stopShortChunked(256 << 10)},
	{name: "very small chunks", size: crowdSize, send: stopShortChunked(8)},
	{name: "announced far over the limit", size: crowdSize, send: sendWithoutEnd("Content-Length: 1099511627776\r\n", "x")},
	{name: "sent far over the limit", size: crowdSize, send: sendWithoutEnd("Transfer-Encoding: chunked\r\n", "4000\r\n"+strings.Repeat("x", 0x4000)+"\r\n")},
	{name: "long answers not read", size: crowdSize, send: readNothing},
	{name: "connections without a request", size: 2 * crowdDescriptors, send: sendNothing},
}

// crowdHead returns the begin of the header of a client's request.
func crowdHead(number int, credential bool) string {
	head := fmt.Sprintf("POST /book/1?length=%d&cut=%[1]d&framing=length HTTP/1.1\r\nHost: %s\r\nRequest-Id: crowd-%d\r\n%s: 60000\r\n",
		8<<20, platformtest.Host, number, platformtest.TimeoutHeader)
	if credential {
		head += "Key: " + platformtest.Credential + "\r\n"
	}
	return head
}

// startCrowd connects the clients from the address and returns once each of them has sent what it means to or has been cut off. The connections
// stay open until the test ends.
func startCrowd(t *testing.T, d *deployment, from string, size int, send crowdClient, credential bool) {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	var sending sync.WaitGroup
	for i := range size {
		conn, err := dialer.DialContext(t.Context(), "tcp4", d.instances[0].callerAddress)
		if err != nil {
			continue // The node may refuse connections.
		}
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(crowdTimeout)))
		sending.Go(func() { send(conn, crowdHead(i, credential)) })
	}
	sending.Wait()
}

// openDescriptors returns the number of descriptors that the node has open.
func (in *instance) openDescriptors(t *testing.T) int {
	t.Helper()
	in.mu.Lock()
	defer in.mu.Unlock()
	assert.Assert(t, in.process != nil, "the node has ended with code %d", in.exitCode)
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", in.process.Process.Pid))
	assert.NilError(t, err)
	return len(entries)
}

// settledPeak returns the peak memory of the node once it has not grown for settleTime: the node may still be reading what the clients have sent.
func (in *instance) settledPeak(t *testing.T) int64 {
	t.Helper()
	peak := in.peakMemory(t)
	for end, since := time.Now().Add(crowdTimeout), time.Now(); time.Since(since) < settleTime && time.Now().Before(end); {
		pause(settleTime / 10)
		if now := in.peakMemory(t); now > peak {
			peak, since = now, time.Now()
		}
	}
	return peak
}

// TestClientsOutsideLimits guards against clients that end a node, make it outgrow its machine or keep ordinary callers out, by bodies that are large,
// never end, exceed the limit or come in tiny chunks, by answers that they do not read, and by connections that carry nothing.
func TestClientsOutsideLimits(t *testing.T) {
	origins := []struct {
		name, address string
		credential    bool
	}{{"of a member", "127.0.0.1", true}, {"of a stranger", "127.0.0.2", false}}
	for _, tt := range outsideLimits {
		for _, origin := range origins {
			t.Run(tt.name+"/"+origin.name, func(t *testing.T) {
				d := newDeployment(t, options{
					nodes: 1, slots: crowdSize, work: 10 * time.Millisecond, callTimeout: time.Minute, memory: crowdMemory,
					descriptors: crowdDescriptors, bodyBytes: crowdBody,
				})
				// The long answers come from a plain service, the answers of ordinary callers from the engines.
				for _, e := range d.endpoints {
					if e.Service == platformtest.PlainService {
						d.store.Put(platform.TopicEndpoints, e.ID, nil)
					}
				}
				startRawEndpoint(t, d, "raw-1", platformtest.PlainService, answerLong)
				awaitReady(t, d)
				startCrowd(t, d, origin.address, tt.size, tt.send, origin.credential)

				in := d.instances[0]
				peak, descriptors := in.settledPeak(t), in.openDescriptors(t)
				t.Logf("peak=%.1f MB descriptors=%d", float64(peak)/1e6, descriptors)
				assert.Check(t, peak < crowdMemory, "the node has used %.1f MB, its limit is %.1f MB", float64(peak)/1e6, float64(crowdMemory)/1e6)
				assert.Check(t, descriptors <= crowdDescriptors, "%d descriptors are open", descriptors)
				a := callOnce(t, d, shortStream)
				assert.Check(t, a.complete && a.code == http.StatusOK, "the ordinary caller got status %d, complete: %t", a.code, a.complete)
				in.peakMemory(t) // Fails if the process has ended.
			})
		}
	}
}

// callOnce sends one ordinary request on a connection of its own.
func callOnce(t *testing.T, d *deployment, path string) attempt {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), ordinaryTimeout)
	defer cancel()
	c := &keptCaller{keptCallers: &keptCallers{deployment: d}}
	if !c.connect() {
		return attempt{}
	}
	defer c.disconnect()
	return c.call(ctx, path, "ordinary-1")
}
