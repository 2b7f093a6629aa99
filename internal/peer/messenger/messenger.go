// Package messenger sends and receives batches of messages between nodes over Twirp.
package messenger

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

const (
	// exchangeTimeout bounds one exchange. An exchange that exceeds it closes its connection, so that an unresponsive connection is
	// not reused.
	exchangeTimeout = time.Second
	// maxInFlight bounds the concurrent exchanges with one node.
	maxInFlight = 4
	// maxPending bounds the messages queued for one node. The oldest ones are dropped when it is exceeded, because senders repeat
	// messages that must arrive.
	maxPending = 4096
)

// Options configure a Messenger.
type Options struct {
	// Self is the sender that every batch states.
	Self modeler.Sender
	// Client is used for all exchanges.
	Client *http.Client
	// Scheme is "http" or "https".
	Scheme string
	// Post receives a PeerAnswered or PeerFailed event after each exchange. It is called from many goroutines.
	Post func(modeler.Event)
}

// Messenger sends batches of messages to other nodes. It is safe for concurrent use.
type Messenger struct {
	options   Options
	ctx       context.Context
	mu        sync.Mutex
	queues    map[string]*queue
	exchanges sync.WaitGroup
}

// queue holds the messages that wait to be sent to one address.
type queue struct {
	to      modeler.NodeID
	pending []modeler.Message
	slots   *semaphore.Weighted
	client  Peer
}

// New returns a messenger and a function that cancels the running exchanges and waits for them to end.
func New(options Options) (*Messenger, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Messenger{options: options, ctx: ctx, queues: map[string]*queue{}}
	return m, func() {
		cancel()
		m.exchanges.Wait()
	}
}

// Send queues messages for a node at an IP:port address. It does not block. Messages without an address, or after the messenger was
// stopped, are dropped.
func (m *Messenger) Send(to modeler.NodeID, address string, messages []modeler.Message) {
	if address == "" || m.ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.queueFor(address)
	q.to = to
	q.pending = append(q.pending, messages...)
	if over := len(q.pending) - maxPending; over > 0 {
		q.pending = q.pending[over:]
	}
	m.startExchange(q)
}

// startExchange starts an exchange with all pending messages of a queue if fewer than maxInFlight exchanges run. The caller holds m.mu.
func (m *Messenger) startExchange(q *queue) {
	if len(q.pending) == 0 || !q.slots.TryAcquire(1) {
		return
	}
	messages := q.pending
	q.pending = nil
	m.exchanges.Go(func() { m.exchange(q, q.to, messages) })
}

func (m *Messenger) queueFor(address string) *queue {
	q, ok := m.queues[address]
	if !ok {
		client := NewPeerProtobufClient(m.options.Scheme+"://"+address, m.options.Client)
		q = &queue{slots: semaphore.NewWeighted(maxInFlight), client: client}
		m.queues[address] = q
	}
	return q
}

// exchange sends one batch, waits for the response and posts the result.
func (m *Messenger) exchange(q *queue, to modeler.NodeID, messages []modeler.Message) {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(m.ctx, exchangeTimeout)
	answer, err := q.client.Exchange(ctx, encodeBatch(m.options.Self, messages))
	cancel()
	m.releaseSlot(q)
	if err != nil {
		m.options.Post(modeler.PeerFailed{To: to, Messages: messages})
		return
	}
	from, answers := decodeBatch(answer)
	m.options.Post(modeler.PeerAnswered{From: from, SentAt: sentAt, Messages: answers})
}

// releaseSlot ends an exchange and starts the next one if messages are pending.
func (m *Messenger) releaseSlot(q *queue) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q.slots.Release(1)
	m.startExchange(q)
}

// Exchanger processes a batch from another node and returns the messages of the response.
type Exchanger interface {
	Exchange(ctx context.Context, event modeler.PeerReceived) ([]modeler.Message, error)
}

// NewHandler returns the HTTP handler of the peer service.
func NewHandler(self modeler.Sender, exchanger Exchanger) http.Handler {
	return NewPeerServer(server{self: self, exchanger: exchanger})
}

type server struct {
	self      modeler.Sender
	exchanger Exchanger
}

// Exchange implements Peer.
func (s server) Exchange(ctx context.Context, batch *Batch) (*Batch, error) {
	from, messages := decodeBatch(batch)
	if from.ID == "" {
		return nil, fmt.Errorf("batch names no sender")
	}
	answers, err := s.exchanger.Exchange(ctx, modeler.PeerReceived{From: from, Messages: messages})
	if err != nil {
		return nil, fmt.Errorf("exchange with %s: %w", from.ID, err)
	}
	return encodeBatch(s.self, answers), nil
}
