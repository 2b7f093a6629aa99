package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// quarantineInterval is the time between two rounds of writes, and between two reads. Calls to the store have a price. A write does not wait for the
	// interval after a read: a node that stops meanwhile would take the quarantine with it.
	quarantineInterval = time.Second
	// maxPendingQuarantines bounds the quarantines that wait to be written while the store does not respond.
	maxPendingQuarantines = 256
	// maxStoredQuarantine bounds the rest of a quarantine that was read, in case the clock of its writer was wrong.
	maxStoredQuarantine = 24 * time.Hour
)

// quarantineRecord is the value of a quarantine's record in the store. Fingerprints are in hexadecimal.
type quarantineRecord struct {
	Count      int
	SharedPart bool
	Companions []string
	Requests   []string
	// Confirmed is set if the probe broke. Nodes of earlier versions write and read only this of the probe.
	Confirmed      bool
	UntilUnixMilli int64
	Quarantines    int
	Probe          probeRecord
}

// probeRecord is the last probe of a quarantine. Its time is left out, because the clock of another node may be wrong: a reader counts from its read.
type probeRecord struct {
	Quarantine, Number int
	Request            modeler.RequestID
	State              modeler.ProbeState
}

// Quarantines writes quarantines to the store and reads them. A keyed topic holds one record for each fingerprint.
type Quarantines struct {
	store Appender
	topic string
	post  func(modeler.Event)
	// wake has a value while there is work.
	wake chan struct{}

	mu sync.Mutex
	// pending holds the records to be written by their keys; an empty value deletes the record. readDue is set if the topic has to be read.
	pending map[string][]byte
	readDue bool
}

// NewQuarantines returns Quarantines that post QuarantinesRead.
func NewQuarantines(store Appender, topic string, post func(modeler.Event)) *Quarantines {
	return &Quarantines{store: store, topic: topic, post: post, wake: make(chan struct{}, 1), pending: map[string][]byte{}}
}

// Save queues a quarantine to be written. It does not block.
func (q *Quarantines) Save(effect modeler.SaveQuarantine) {
	suspect := effect.Suspect
	value, err := json.Marshal(quarantineRecord{
		Count: suspect.Count, SharedPart: suspect.SharedPart, Companions: formatFingerprints(suspect.Companions),
		Requests: formatFingerprints(suspect.Requests), Confirmed: suspect.Probe.State == modeler.ProbeBroke, UntilUnixMilli: effect.Until.UnixMilli(),
		Quarantines: suspect.Quarantines, Probe: probeRecord{
			Quarantine: suspect.Probe.Quarantine, Number: suspect.Probe.Number, Request: suspect.Probe.ID, State: suspect.Probe.State,
		},
	})
	if err != nil {
		panic(err) // cannot happen: the value holds only strings, numbers and booleans
	}
	q.queue(suspect.Fingerprint, value)
}

// Delete queues the deletion of a quarantine. It does not block.
func (q *Quarantines) Delete(effect modeler.DeleteQuarantine) { q.queue(effect.Fingerprint, nil) }

func (q *Quarantines) queue(fingerprint modeler.Fingerprint, value []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := formatFingerprint(fingerprint)
	if _, ok := q.pending[key]; ok || len(q.pending) < maxPendingQuarantines {
		q.pending[key] = value
	}
	q.signal()
}

// Fetch requests a read. It does not block.
func (q *Quarantines) Fetch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.readDue = true
	q.signal()
}

func (q *Quarantines) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Run reads and writes on request until ctx ends and returns its error. Failed calls are repeated.
func (q *Quarantines) Run(ctx context.Context) error {
	var nextWrite, nextRead time.Time
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.wake:
		case <-timer.C:
		}
		if !time.Now().Before(nextWrite) && q.write(ctx) {
			nextWrite = time.Now().Add(quarantineInterval)
		}
		if !time.Now().Before(nextRead) && q.read(ctx) {
			nextRead = time.Now().Add(quarantineInterval)
		}
		if next, ok := q.next(nextWrite, nextRead); ok {
			timer.Reset(time.Until(next))
		}
	}
}

// next returns when the work that is left may be done, the earlier of the two times that apply. It returns false if none is left.
func (q *Quarantines) next(nextWrite, nextRead time.Time) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case len(q.pending) > 0 && (!q.readDue || nextWrite.Before(nextRead)):
		return nextWrite, true
	case q.readDue:
		return nextRead, true
	default:
		return time.Time{}, false
	}
}

// write writes the pending records, and reports whether there were any. Those that could not be written stay pending unless they were replaced meanwhile.
func (q *Quarantines) write(ctx context.Context) bool {
	q.mu.Lock()
	records := q.pending
	q.pending = map[string][]byte{}
	q.mu.Unlock()
	for key, value := range records {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := q.store.Append(callCtx, q.topic, key, value)
		cancel()
		if err == nil {
			continue
		}
		q.mu.Lock()
		if _, replaced := q.pending[key]; !replaced {
			q.pending[key] = value
		}
		q.mu.Unlock()
	}
	return len(records) > 0
}

// read posts the quarantines in the store if a read is due, and deletes those that have ended. It reports whether one was.
func (q *Quarantines) read(ctx context.Context) bool {
	q.mu.Lock()
	due := q.readDue
	q.readDue = false
	q.mu.Unlock()
	if !due {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := q.store.Newest(callCtx, q.topic)
	if err != nil {
		q.Fetch()
		return true
	}
	var suspects []modeler.Suspect
	for _, record := range page.Records {
		suspect, err := decodeQuarantine(record, time.Now())
		switch {
		case err != nil:
			// The record was not written by a node.
		case suspect.QuarantinedFor <= 0:
			q.queue(suspect.Fingerprint, nil)
		default:
			suspects = append(suspects, suspect)
		}
	}
	if len(suspects) > 0 {
		q.post(modeler.QuarantinesRead{Suspects: suspects})
	}
	return true
}

// probe returns the report of the probe, without its age.
func (r quarantineRecord) probe() modeler.ProbeReport {
	if r.Probe.State == modeler.ProbeNone {
		return modeler.BrokenProbe(r.Confirmed)
	}
	return modeler.ProbeReport{
		Quarantine: r.Probe.Quarantine, Number: r.Probe.Number, ID: r.Probe.Request, State: min(r.Probe.State, modeler.ProbeBroke),
	}
}

func decodeQuarantine(record modeler.Record, now time.Time) (modeler.Suspect, error) {
	fingerprint, err := parseFingerprint(record.Key)
	if err != nil {
		return modeler.Suspect{}, err
	}
	var r quarantineRecord
	if err := json.Unmarshal(record.Value, &r); err != nil {
		return modeler.Suspect{}, fmt.Errorf("decode quarantine %q: %w", record.Key, err)
	}
	suspect := modeler.Suspect{
		Fingerprint: fingerprint, Count: r.Count, SharedPart: r.SharedPart, Quarantines: r.Quarantines, Probe: r.probe(),
		QuarantinedFor: min(time.UnixMilli(r.UntilUnixMilli).Sub(now), maxStoredQuarantine),
	}
	for _, list := range []struct {
		texts []string
		to    *[]modeler.Fingerprint
	}{{r.Companions, &suspect.Companions}, {r.Requests, &suspect.Requests}} {
		for _, text := range list.texts {
			parsed, err := parseFingerprint(text)
			if err != nil {
				return modeler.Suspect{}, err
			}
			*list.to = append(*list.to, parsed)
		}
	}
	return suspect, nil
}

func formatFingerprint(f modeler.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }

func formatFingerprints(list []modeler.Fingerprint) []string {
	texts := make([]string, 0, len(list))
	for _, f := range list {
		texts = append(texts, formatFingerprint(f))
	}
	return texts
}

func parseFingerprint(text string) (modeler.Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	return modeler.Fingerprint(f), err
}
