package publisher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/rules/differ"
	"damaskpick.example/damaskpick/internal/rules/parser"
)

// Log contains the operations of the log service that publishing needs.
type Log interface {
	// Append returns the offset of the record. After an error, the record may have been appended, or may still be appended later.
	Append(ctx context.Context, stream modeler.Stream, record any) (int64, error)
	// Read returns at most limit records from offset from on, in offset order, and the offset that the next appended record
	// will get. The records start later than from when the log no longer keeps it.
	Read(ctx context.Context, stream modeler.Stream, from int64, limit int) (records []modeler.Record, next int64, err error)
}

// Options configure a Service. Zero values are replaced by the defaults.
type Options struct {
	// Timeout bounds one publication, from the first read to the last; the default is 10 s.
	Timeout time.Duration
	// Pause is the time between two reads while the outcome is not known; the default is 200 ms.
	Pause time.Duration
}

// pageRecords bounds the number of records in one read of the log. A rule file of 1 MiB can take 2.7 MiB in the response, as base64
// of JSON; eight stay below 22 MiB, and so below the 32 MiB that package appender accepts.
const pageRecords = 8

// Service publishes rule files. It is stateless and safe for concurrent use.
type Service struct {
	log      Log
	inEffect func() modeler.Rules
	options  Options
}

// New returns a service. inEffect returns the rules in effect as this node knows them; they may be older than those in the log.
func New(log Log, inEffect func() modeler.Rules, options Options) *Service {
	if options.Timeout == 0 {
		options.Timeout = 10 * time.Second
	}
	if options.Pause == 0 {
		options.Pause = 200 * time.Millisecond
	}
	return &Service{log: log, inEffect: inEffect, options: options}
}

// Publish appends a draft, reads it back and returns the outcome. An invalid draft is not appended; the error is then a
// collector.FindingsError or DraftError. Publish first looks for the publish ID in the log, so that it does not append a draft again
// that an earlier attempt appended.
func (s *Service) Publish(ctx context.Context, draft Draft) (Result, error) {
	rules, err := draft.check()
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	p := &publication{service: s, draft: draft, rules: rules, known: s.inEffect()}
	return p.run(ctx)
}

// publication is the state of one call of Publish.
type publication struct {
	service *Service
	draft   Draft
	rules   modeler.Rules
	// known holds the rules in effect as this node knows them.
	known      modeler.Rules
	base       State
	resolution Resolution
}

func (p *publication) run(ctx context.Context) (Result, error) {
	if err := p.start(ctx); err != nil {
		return unknownUnlessInvalid(err)
	}
	if result, done, err := p.decide(); done {
		return result, err
	}
	_, appendErr := p.service.log.Append(ctx, modeler.StreamRules, p.draft.record())
	for {
		err := p.readToEnd(ctx)
		if result, done, draftErr := p.decide(); done {
			return result, draftErr
		}
		if !wait(ctx, p.service.options.Pause) {
			return Result{Outcome: Unknown, Cause: errors.Join(appendErr, err, ctx.Err())}, nil
		}
	}
}

// unknownUnlessInvalid converts an error of the log to an unknown outcome, because an earlier attempt with the same publish ID may
// have been appended. It returns a DraftError unchanged.
func unknownUnlessInvalid(err error) (Result, error) {
	if target := (DraftError{}); errors.As(err, &target) {
		return Result{}, err
	}
	return Result{Outcome: Unknown, Cause: err}, nil
}

// start reads the log from the older of two versions: the draft's base and the version known to this node. It checks that the newer of
// them was in effect after the older one; an offset that was never a version in effect does not pass this check.
func (p *publication) start(ctx context.Context) error {
	start := StateAt(p.known)
	if p.draft.Base < p.known.Version {
		start = State{Version: p.draft.Base, At: int64(p.draft.Base)}
	}
	p.resolution = Resolution{Current: start}
	if err := p.readToEnd(ctx); err != nil {
		return err
	}
	if !p.resolution.WasInEffect(max(p.draft.Base, p.known.Version)) {
		return DraftError{fmt.Sprintf("the base %d was never in effect", p.draft.Base)}
	}
	return nil
}

// errGap is returned when the log no longer keeps all records since the draft's base.
var errGap = errors.New("the log no longer keeps the records since the base of the draft; make the draft again from the version in effect")

// readToEnd reads the remaining records of the stream.
func (p *publication) readToEnd(ctx context.Context) error {
	for {
		current := p.resolution.Current
		from := current.At + 1
		if current.At > 0 && current.At == int64(current.Version) && !current.TextKnown {
			from = current.At
		}
		records, next, err := p.service.log.Read(ctx, modeler.StreamRules, from, pageRecords)
		if err != nil {
			return fmt.Errorf("read rules stream: %w", err)
		}
		gap := len(records) > 0 && records[0].Offset > from || len(records) == 0 && next > from
		if gap && !p.mayMissRecords(records) {
			return errGap
		}
		p.resolution = p.resolution.With(records)
		p.recordBase()
		if len(records) == 0 || p.resolution.Current.At+1 >= next {
			return nil
		}
	}
}

// mayMissRecords reports whether missing records after the current state cannot change the result. This is so after the version that is
// in effect on this node: the missing records can then only be ignored records or renewals, unless the remaining records name a later
// base.
func (p *publication) mayMissRecords(records []modeler.Record) bool {
	current := p.resolution.Current
	return current.Version > 0 && current.Version == p.known.Version && startOf(records).Version <= current.Version
}

// recordBase stores the state in which the draft's base was in effect. It is needed to compare the rules on conflict.
func (p *publication) recordBase() {
	if p.base.TextKnown {
		return
	}
	if p.known.Version == p.draft.Base {
		p.base = StateAt(p.known)
	}
	if p.resolution.Current.Version == p.draft.Base {
		p.base = p.resolution.Current
	}
	for _, d := range p.resolution.Decisions {
		if d.Applied && d.Offset == int64(p.draft.Base) {
			p.base = State{Version: p.draft.Base}.withFile(d.Published)
		}
	}
}

// decide returns the result and true if the records read so far determine it.
func (p *publication) decide() (Result, bool, error) {
	if d, ok := p.resolution.DecisionFor(p.draft.PublishID); ok {
		if d.Published != p.draft.record() {
			return Result{}, true, DraftError{"the publish id was used for another draft"}
		}
		if d.Applied {
			return Result{Outcome: Accepted, Version: modeler.Version(d.Offset), Author: d.Published.Author}, true, nil
		}
	}
	current := p.resolution.Current
	if current.Version <= p.draft.Base {
		return Result{}, false, nil
	}
	result := Result{Outcome: Conflicting, Version: current.Version, Author: current.Author}
	result.Changes, result.Conflicts = p.compare(current.Text)
	return result, true, nil
}

// compare returns nothing if this version of the program cannot parse one of the files. The conflict is then reported without rules.
func (p *publication) compare(text string) ([]differ.Change, []differ.Conflict) {
	base, baseErr := parser.Parse("", p.base.Text)
	theirs, theirErr := parser.Parse("", text)
	if baseErr != nil || theirErr != nil {
		return nil, nil
	}
	return differ.Diff(base, theirs), differ.Conflicts(base, p.rules, theirs)
}

// wait pauses for a time. It returns false if the context ended before.
func wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
