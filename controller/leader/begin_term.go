package leader

import (
	"context"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler"
)

// The methods in this file write the records with which a term begins, and read from them which leaders there were.

// ensureFleetRecord reports whether the fleet record already existed, which means that there was a
// previous leader. If the record did not exist, ensureFleetRecord writes it.
func (l *loader) ensureFleetRecord(ctx context.Context) (previousLeader bool, err error) {
	if _, found, err := l.Store.Get(ctx, records.FleetKey); found || err != nil {
		return found, err
	}
	first := map[string]uint64{"first": uint64(l.term.Revision)}
	return false, l.commit(ctx, records.Change{Operations: []kv.Operation{{PutKey: records.FleetKey, Value: first}}})
}

// commit commits a change, fenced by the revision of the term. It returns records.ErrFenced if the fence or another
// precondition does not hold.
func (l *loader) commit(ctx context.Context, change records.Change) error {
	fence := kv.Precondition{Key: records.LeaderKey, Revision: l.term.Revision}
	result, err := l.Store.Commit(ctx, kv.Txn{Preconditions: append(change.Preconditions, fence), Operations: change.Operations})
	if err == nil && !result.Applied {
		err = records.ErrFenced
	}
	return err
}

// beginTerm records that this controller leads, and reads from the records of the other controllers' terms for how
// long these may still act. It repeats what the key-value store does not answer, until the term ends.
func (l *loader) beginTerm(ctx context.Context, options *scheduler.Options) error {
	superseded, err := l.recordTerm(ctx, options.WallClockMS)
	for unanswered(err) && monotonic.Sleep(ctx, listRetryDelay) {
		superseded, err = l.recordTerm(ctx, options.WallClockMS)
	}
	if err != nil {
		return err
	}
	options.PreviousLeaders = l.supersededFor(superseded, options.WallClockMS)
	// A version that records no terms may have led until the gate opened.
	options.AllPreviousLeadersKnown = l.VersionGate.Open() && len(superseded) > 0
	return nil
}

// recordTerm records that this controller leads since nowMS. It returns when the last terms of the other controllers
// were superseded at the latest.
func (l *loader) recordTerm(ctx context.Context, nowMS int64) (superseded map[ids.ControllerName]int64, err error) {
	terms := records.NewLeaderTerms()
	_, err = l.list(ctx, records.LeaderTermPrefix, func(entry kv.Entry) error {
		if err := terms.Add(entry); err != nil {
			logUnreadable(l.Log, entry.Key, err)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if err := l.commit(ctx, terms.BeginChange(l.Platform.HostName, l.term.Revision, nowMS)); err != nil {
		return nil, err
	}
	return terms.Superseded(), nil
}

// supersededFor returns how long ago the controllers were superseded at least. The time of day of each controller
// may differ from the true time by the skew in the settings.
func (l *loader) supersededFor(supersededMS map[ids.ControllerName]int64, nowMS int64) map[ids.ControllerName]time.Duration {
	skew := time.Duration(l.Platform.Settings.SkewMS * float64(time.Millisecond))
	elapsed := make(map[ids.ControllerName]time.Duration, len(supersededMS))
	for name, at := range supersededMS {
		elapsed[name] = max(0, time.Duration(nowMS-at)*time.Millisecond-2*skew-wallClockMargin)
	}
	return elapsed
}

// wallClockMargin covers the resolution of the wall clock and the rate at which it is corrected.
const wallClockMargin = 500 * time.Millisecond
