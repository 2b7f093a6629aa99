// Package messenger exchanges messages between nodes as UDP datagrams encoded in protobuf. Any message may be lost; later messages make up for
// a lost one. Unlike connections, datagrams cannot stall without an error.
package messenger

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// maxDatagram is the largest payload of UDP over IPv4.
const maxDatagram = 65507

// Messenger sends and receives datagrams. It is safe for concurrent use.
type Messenger struct {
	conn *net.UDPConn
	// failed counts messages that could not be sent or read.
	failed atomic.Int64
}

// New listens on the address (IP:port) and also returns a function that closes the socket.
func New(address string) (*Messenger, func() error, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, nil, err
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, nil, err
	}
	return &Messenger{conn: conn}, conn.Close, nil
}

// Failed returns the number of messages that could not be sent or read.
func (m *Messenger) Failed() int64 { return m.failed.Load() }

// Send sends a message once. A nil error does not mean that the message arrived.
func (m *Messenger) Send(to modeler.Node, message modeler.Message) error {
	address, err := netip.ParseAddrPort(to.PeerAddress)
	if err != nil {
		m.failed.Add(1)
		return fmt.Errorf("peer address of node %q: %w", to.ID, err)
	}
	data, err := proto.Marshal(encode(time.Now(), message))
	if err == nil {
		_, err = m.conn.WriteToUDPAddrPort(data, address)
	}
	if err != nil {
		m.failed.Add(1)
		return fmt.Errorf("send to node %q: %w", to.ID, err)
	}
	return nil
}

// Receive calls deliver for every received message until the socket is closed. It skips datagrams that cannot be read or decoded.
func (m *Messenger) Receive(deliver func(modeler.Message)) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := m.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// For example, the port that an earlier datagram was sent to is closed. The socket remains usable.
			m.failed.Add(1)
			continue
		}
		var d Datagram
		if err := proto.Unmarshal(buffer[:n], &d); err != nil {
			m.failed.Add(1)
			continue
		}
		message, ok := decode(time.Now(), &d)
		if !ok {
			m.failed.Add(1)
			continue
		}
		deliver(message)
	}
}
