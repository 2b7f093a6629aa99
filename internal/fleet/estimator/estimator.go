// Package estimator predicts what a request will cost from what earlier requests with the same key have cost. Keys come from outside: the table
// is bounded, and an owner of many keys displaces only its own rows.
package estimator

import (
	"container/list"
	"time"
)

// Key identifies requests that are expected to cost the same, from the general to the special. Group and Subgroup come from the operators'
// configuration, Special from the request.
type Key struct{ Group, Subgroup, Special, Owner uint64 }

// Options bounds an Estimator.
type Options struct {
	// MaxRows bounds the rows of special keys, and OwnerFraction the part of them that one owner may have.
	MaxRows       int
	OwnerFraction float64
	// MaxGroups bounds the rows of groups and subgroups together.
	MaxGroups int
}

// priorWeight is the number of observations that the prediction of the next general key counts as. Special rows with fewer are mixed with it.
const priorWeight = 2

// Estimator predicts costs. It is not safe for concurrent use.
type Estimator[S any, P Policy[S]] struct {
	policy  P
	options Options
	// groups has the rows of groups (Subgroup zero) and subgroups.
	groups map[groupKey]S
	// rows holds the elements of the lists in owners by special key. The most recently used row of an owner is at the front of its list.
	rows   map[Key]*list.Element
	owners map[uint64]*list.List
}

type groupKey struct{ group, subgroup uint64 }

// row is the value of an element.
type row[S any] struct {
	key   Key
	state S
}

// New returns an estimator that has seen nothing.
func New[S any, P Policy[S]](policy P, options Options) *Estimator[S, P] {
	return &Estimator[S, P]{
		policy: policy, options: options, groups: map[groupKey]S{}, rows: map[Key]*list.Element{}, owners: map[uint64]*list.List{},
	}
}

// Len returns the number of rows of special keys.
func (e *Estimator[S, P]) Len() int { return len(e.rows) }

// Learn records an observation for a key and the general keys above it.
func (e *Estimator[S, P]) Learn(key Key, o Observation) {
	for _, g := range []groupKey{{key.Group, 0}, {key.Group, key.Subgroup}} {
		state, known := e.groups[g]
		if !known && len(e.groups) >= e.options.MaxGroups {
			// The configuration has changed many times. What it no longer has cannot be told apart here.
			clear(e.groups)
		}
		e.groups[g] = e.policy.Learn(state, o)
	}
	element, ok := e.rows[key]
	if !ok {
		element = e.add(key)
	}
	r := element.Value.(row[S])
	r.state = e.policy.Learn(r.state, o)
	element.Value = r
	e.owners[key.Owner].MoveToFront(element)
}

// add adds a row and removes the least recently used one of its owner if that has too many, or else of the owner with the most rows if all are in use.
func (e *Estimator[S, P]) add(key Key) *list.Element {
	own := e.owners[key.Owner]
	if own == nil {
		own = list.New()
		e.owners[key.Owner] = own
	}
	element := own.PushFront(row[S]{key: key})
	e.rows[key] = element
	switch {
	case own.Len() > max(int(e.options.OwnerFraction*float64(e.options.MaxRows)), 1):
		e.removeLast(key.Owner)
	case len(e.rows) > e.options.MaxRows:
		largest := key.Owner
		for owner, rows := range e.owners {
			if rows.Len() > e.owners[largest].Len() || rows.Len() == e.owners[largest].Len() && owner < largest {
				largest = owner
			}
		}
		e.removeLast(largest)
	}
	return element
}

func (e *Estimator[S, P]) removeLast(owner uint64) {
	rows := e.owners[owner]
	last := rows.Back()
	rows.Remove(last)
	delete(e.rows, last.Value.(row[S]).key)
	if rows.Len() == 0 {
		delete(e.owners, owner)
	}
}

// Predict returns the expected cost of a request with the key, or fallback if nothing was seen. A key with few observations gets a value between theirs and
// that of the next general key.
func (e *Estimator[S, P]) Predict(key Key, now time.Time, fallback float64) float64 {
	value := fallback
	for i, g := range []groupKey{{key.Group, 0}, {key.Group, key.Subgroup}} {
		if state, ok := e.groups[g]; ok {
			value = e.mix(state, now, value, i == 0)
		}
	}
	if element, ok := e.rows[key]; ok {
		value = e.mix(element.Value.(row[S]).state, now, value, false)
	}
	return value
}

// mix returns the prediction of a state, mixed with that of the general key above it. The most general one is not mixed with the fallback, which is a
// guess.
func (e *Estimator[S, P]) mix(state S, now time.Time, general float64, first bool) float64 {
	value, weight := e.policy.Predict(state, now)
	if first && weight > 0 {
		return value
	}
	return (value*weight + general*priorWeight) / (weight + priorWeight)
}

// LearnGroup takes over what another node has learned of a subgroup if that rests on more observations than what is known here.
func (e *Estimator[S, P]) LearnGroup(group, subgroup uint64, value, weight float64, at time.Time) {
	key := groupKey{group, subgroup}
	state, known := e.groups[key]
	if _, own := e.policy.Predict(state, at); own >= weight || !known && len(e.groups) >= e.options.MaxGroups {
		return
	}
	e.groups[key] = e.policy.Told(value, weight, at)
}

// Range returns the lowest and the highest prediction of the special keys of a group that rest on at least minWeight observations; zeros if there are none.
func (e *Estimator[S, P]) Range(group uint64, minWeight float64, now time.Time) (lowest, highest float64) {
	for key, element := range e.rows {
		if key.Group != group {
			continue
		}
		value, weight := e.policy.Predict(element.Value.(row[S]).state, now)
		if weight < minWeight {
			continue
		}
		if highest == 0 || value < lowest {
			lowest = value
		}
		highest = max(highest, value)
	}
	return lowest, highest
}

// Known is a prediction and the number of observations that it rests on.
type Known struct{ Value, Weight float64 }

// Subgroups returns what is known of the subgroups of a group, and of the group itself under zero, to tell other nodes of it.
func (e *Estimator[S, P]) Subgroups(group uint64, now time.Time) map[uint64]Known {
	all := map[uint64]Known{}
	for key, state := range e.groups {
		if key.group == group {
			value, weight := e.policy.Predict(state, now)
			all[key.subgroup] = Known{Value: value, Weight: weight}
		}
	}
	return all
}
