package records

import (
	"maps"
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
)

// LeaderTerm is the durable record of the last term of a controller as leader. Later leaders derive from it for
// how long that controller may still act without the key-value store, however often leaders change in between.
type LeaderTerm struct {
	// Revision is the revision of the leader key during the term.
	Revision ids.Revision `msgpack:"r"`
	// SupersededMS is a time, as Unix time in milliseconds, at which another controller led already. It is
	// zero until a later leader has recorded it.
	SupersededMS int64 `msgpack:"s,omitempty"`
}

// LeaderTerms holds the records of the last terms of all controllers that have led.
type LeaderTerms struct {
	terms     map[ids.ControllerName]LeaderTerm
	revisions map[ids.ControllerName]ids.Revision
}

// NewLeaderTerms returns the records of no controller.
func NewLeaderTerms() *LeaderTerms {
	return &LeaderTerms{terms: map[ids.ControllerName]LeaderTerm{}, revisions: map[ids.ControllerName]ids.Revision{}}
}

// Add adds a record. One that cannot be decoded counts as a term that nobody has superseded yet.
func (t *LeaderTerms) Add(entry kv.Entry) error {
	name := ids.ControllerName(entry.Key[len(LeaderTermPrefix):])
	var term LeaderTerm
	err := wire.Decode(entry.Value, &term)
	if err != nil {
		term = LeaderTerm{}
	}
	t.terms[name], t.revisions[name] = term, entry.Revision
	return err
}

// BeginChange returns the change with which a leader begins its term at nowMS: it records its own term, and that
// all others whose records do not say so are superseded. It updates the terms as if the change were committed.
func (t *LeaderTerms) BeginChange(self ids.ControllerName, revision ids.Revision, nowMS int64) Change {
	var c Change
	for _, name := range slices.Sorted(maps.Keys(t.terms)) {
		term := t.terms[name]
		if name == self || term.SupersededMS != 0 {
			continue
		}
		term.SupersededMS = nowMS
		t.terms[name] = term
		c.put(LeaderTermKey(name), t.revisions[name], term)
	}
	own := LeaderTerm{Revision: revision}
	c.put(LeaderTermKey(self), t.revisions[self], own)
	delete(t.terms, self)
	return c
}

// Superseded returns, after BeginChange, when the last term of each other controller was superseded at the latest,
// as Unix time in milliseconds. A controller that is not in the map has not led.
func (t *LeaderTerms) Superseded() map[ids.ControllerName]int64 {
	superseded := map[ids.ControllerName]int64{}
	for name, term := range t.terms {
		superseded[name] = term.SupersededMS
	}
	return superseded
}
