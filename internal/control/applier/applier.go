// Package applier activates rule files on this node: it reads the rules stream, exchanges the newest file with other nodes and sets
// the caps of members and whether endpoints are out of service.
package applier

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/rules/publisher"
)

const (
	// askInterval is the shortest time between two requests for a newer file.
	askInterval = 200 * time.Millisecond
	// rankDelay is how much longer each active node waits than the one before it, so that not all of them renew the same file
	// at once.
	rankDelay = 10 * time.Second
)

// Options configure a System.
type Options struct {
	// RenewInterval is the age of the newest record of the current file at which the file is appended again. It must be less than
	// half the log's retention. The current file is the newest one known, whether or not this node can parse it. Zero disables renewal.
	RenewInterval time.Duration
	// NewPublishID returns a unique ID for a renewal. It may be nil if RenewInterval is zero.
	NewPublishID func() string
	// OnInvalid is called with the version and the parse error of a file that the log made the newest one but that cannot be parsed.
	// It may be nil.
	OnInvalid func(modeler.Version, error)
}

// System is the rules system.
type System struct {
	options Options
	// buffered holds the records read until the end of the stream is reached for the first time.
	buffered []modeler.Record
	// caughtUp is set once the end of the stream was reached.
	caughtUp bool
	// state is the newest rule file known.
	state publisher.State
	// applied is the newest version that activate has handled, whether or not its file could be parsed.
	applied modeler.Version
	// renewAt is when the current file is due for renewal.
	renewAt time.Time
	// askedAt is when a newer file was last requested.
	askedAt time.Time
}

// New returns a System.
func New(options Options) *System {
	if options.OnInvalid == nil {
		options.OnInvalid = func(modeler.Version, error) {}
	}
	return &System{options: options}
}

// Ready reports whether the node knows the rules, because it has read the whole stream or received a file from another node.
func (s *System) Ready() bool { return s.caughtUp || s.state.TextKnown }

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.RecordsRead:
			if e.Stream == modeler.StreamRules {
				s.readRecords(tick, e)
			}
		case modeler.PeerReceived:
			s.receive(tick, world, e.From, e.Messages)
		case modeler.PeerAnswered:
			s.receive(tick, world, e.From, e.Messages)
		}
	}
	s.activate(world)
	s.renew(tick, world)
}

// readRecords updates the state from records of the rules stream. It buffers them until the end of the stream is reached for the
// first time, because the oldest records alone do not show which file is in effect.
func (s *System) readRecords(tick *modeler.Tick, read modeler.RecordsRead) {
	if !s.caughtUp {
		s.buffered = append(s.buffered, read.Records...)
		if !read.AtEnd {
			return
		}
		s.caughtUp = true
		if state := publisher.Resolve(s.buffered).Current; state.Version >= s.state.Version {
			s.state = state
		}
		s.scheduleRenewal(tick.Now, s.buffered)
		s.buffered = nil
		return
	}
	for _, record := range read.Records {
		s.state, _ = s.state.With(record)
	}
	s.scheduleRenewal(tick.Now, read.Records)
}

// scheduleRenewal sets renewAt to RenewInterval after the newest record of the current file was appended.
func (s *System) scheduleRenewal(now time.Time, records []modeler.Record) {
	for _, record := range records {
		published, ok := record.Value.(modeler.RulesPublished)
		if !ok || (modeler.Version(record.Offset) != s.state.Version && published.Renews != s.state.Version) {
			continue
		}
		s.renewAt = now.Add(s.options.RenewInterval)
		if age := now.Sub(record.Time); !record.Time.IsZero() && age > 0 {
			s.renewAt = s.renewAt.Add(-age)
		}
	}
}

// receive requests a newer file that a digest announces, answers requests for a newer file and accepts received files.
func (s *System) receive(tick *modeler.Tick, world *modeler.World, from modeler.Sender, messages []modeler.Message) {
	for _, message := range messages {
		switch m := message.(type) {
		case modeler.Digest:
			if m.Rules > s.state.Version && tick.Now.Sub(s.askedAt) >= askInterval {
				s.askedAt = tick.Now
				tick.Send(from.ID, from.Address, modeler.RulesAsk{Have: s.state.Version})
			}
		case modeler.RulesAsk:
			if world.Rules.Version > m.Have {
				tick.Send(from.ID, from.Address, modeler.RulesFile{Version: world.Rules.Version, Text: world.Rules.Text})
			}
		case modeler.RulesFile:
			if m.Version > s.state.Version || (m.Version == s.state.Version && !s.state.TextKnown) {
				s.state = publisher.StateAt(modeler.Rules{Version: m.Version, Text: m.Text})
			}
		}
	}
}

// activate makes the newest file the rules in force on this node if it is newer than they are. A file that cannot be parsed is
// reported to Options.OnInvalid and skipped.
func (s *System) activate(world *modeler.World) {
	if s.state.TextKnown && s.state.Version > world.Rules.Version && s.state.Version > s.applied {
		s.applied = s.state.Version
		rules, err := s.state.Rules()
		if err != nil {
			s.options.OnInvalid(s.state.Version, err)
			return
		}
		world.Rules = rules
		s.apply(world)
	}
}

// apply sets the Out flag of endpoints and the caps of members according to the rules.
func (s *System) apply(world *modeler.World) {
	for id, e := range world.Endpoints.All() {
		if out := world.Rules.IsOut(e); out != e.Out {
			world.Endpoints.Put(id, e.WithOut(out))
		}
	}
	for id, m := range world.Members.All() {
		if _, named := world.Rules.CapOf(id); !named && m.Cap != 0 {
			world.Members.Put(id, m.WithCap(0))
		}
	}
	for _, share := range world.Rules.Shares {
		limit := share.Cap(world.Rules.Fleet)
		m, _ := world.Members.Get(share.Member)
		if m.Cap != limit {
			m.ID = share.Member
			world.Members.Put(share.Member, m.WithCap(limit))
		}
	}
}

// renew appends the current file again before the log's retention drops it. The active node with the smallest ID renews first;
// each further node does so if the nodes before it did not.
func (s *System) renew(tick *modeler.Tick, world *modeler.World) {
	if s.options.RenewInterval == 0 || s.renewAt.IsZero() || !s.state.TextKnown || !s.caughtUp {
		return
	}
	if tick.Now.Before(s.renewAt) {
		tick.WakeAt(s.renewAt)
		return
	}
	due := s.renewAt
	for id, n := range world.Nodes.All() {
		if id >= world.Self.ID {
			break
		}
		if n.Phase == modeler.NodeActive {
			due = due.Add(rankDelay)
		}
	}
	if tick.Now.Before(due) {
		tick.WakeAt(due)
		return
	}
	s.renewAt = tick.Now.Add(rankDelay)
	tick.Emit(modeler.AppendRecord{
		Stream: modeler.StreamRules,
		Record: s.state.Renewal(s.options.NewPublishID()),
	})
}
