package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// loader creates a scheduler core from the records. One goroutine uses it once, before the event
// loop starts.
type loader struct {
	Dependencies
	term *election.Term
	core *scheduler.Core
	// revision is the revision of the key-value store at which the jobs were listed. Users'
	// requests may have changed jobs since then, so the watch starts at this revision.
	revision ids.Revision
}

// load loads all records into a new core. Commits of previous leaders are fenced by the revisions of
// their terms, so only jobs can change in the meantime. Jobs and zones are loaded before admissions,
// so that each admitted task is counted for its job and its zone.
//
// load does not wait for the catalog. A leader that knows no machine types cannot place tasks, but it
// answers heartbeats, which keeps all tasks running, and it acts on cancellations.
func (l *loader) load(ctx context.Context) error {
	if err := l.VersionGate.Load(ctx, l.Store); err != nil {
		return err
	}
	previousLeader, err := l.ensureFleetRecord(ctx)
	if err != nil {
		return err
	}
	options := l.schedulerOptions(l.term.Revision, previousLeader)
	options.WallClockMS = time.Now().UnixMilli()
	if err := l.beginTerm(ctx, &options); err != nil {
		return err
	}
	types, _ := l.Catalog.MachineTypes()
	l.core = scheduler.New(options, types)
	if l.revision, err = l.list(ctx, records.JobPrefix, l.loadJob); err != nil {
		return err
	}
	if err := l.loadZones(ctx); err != nil {
		return err
	}
	if _, err := l.list(ctx, records.AdmissionPrefix, l.loadAdmission); err != nil {
		return err
	}
	if _, err := l.list(ctx, records.TerminationPrefix, l.loadTermination); err != nil {
		return err
	}
	l.core.Begin(l.Clock.Now())
	return nil
}

// listRetryDelay is the delay before a page that could not be read is read again.
const listRetryDelay = 200 * time.Millisecond

// unanswered reports whether the key-value store did not answer a request, so that it is worth repeating.
func unanswered(err error) bool {
	return errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrIndeterminate)
}

// list calls each with every entry whose key has a prefix, and returns the revision of the first page. It reads
// a page again that the key-value store did not return, until the term ends: if it began with the first page
// again, a long list might never be read.
func (l *loader) list(ctx context.Context, prefix string, each func(kv.Entry) error) (ids.Revision, error) {
	pages := kv.NewPages(l.Store, prefix)
	for !pages.Complete() {
		page, err := pages.Next(ctx)
		switch {
		case unanswered(err):
			l.Log.Debug("record list read failed", "prefix", prefix, "after", pages.LastKey(), "err", err)
			if !monotonic.Sleep(ctx, listRetryDelay) {
				return 0, err
			}
			continue
		case err != nil:
			return 0, err
		}
		for _, entry := range page.Entries {
			if err := each(entry); err != nil {
				return 0, err
			}
		}
	}
	return pages.FirstRevision(), nil
}

// loadJob loads a job's record. A record that cannot be decoded is logged and registered as unreadable.
func (l *loader) loadJob(entry kv.Entry) error {
	id := ids.JobID(entry.Key[len(records.JobPrefix):])
	var record records.Job
	if err := wire.Decode(entry.Value, &record); err != nil {
		logUnreadable(l.Log, entry.Key, err)
		l.core.LoadUnreadableJob(id)
		return nil
	}
	l.core.LoadJob(id, &record, entry.Revision)
	return nil
}

// loadZones loads the zones' records if the operators' settings enable zone recovery.
func (l *loader) loadZones(ctx context.Context) error {
	if l.Operator.ZoneRecoveryPolicy == nil {
		return nil
	}
	_, err := l.list(ctx, records.ZonePrefix, l.loadZone)
	return err
}

// loadZone loads a zone's record. A record that cannot be decoded is logged and registered as
// unreadable.
func (l *loader) loadZone(entry kv.Entry) error {
	zone := ids.Zone(strings.TrimPrefix(entry.Key, records.ZonePrefix))
	var record zonerecovery.Record
	if err := wire.Decode(entry.Value, &record); err != nil {
		logUnreadable(l.Log, entry.Key, err)
		l.core.LoadUnreadableZone(l.Clock.Now(), zone, entry.Revision)
		return nil
	}
	l.core.LoadZone(l.Clock.Now(), zone, &record, entry.Revision)
	return nil
}

// loadAdmission loads an admission slice. If the slice is unreadable, its job is suspended.
func (l *loader) loadAdmission(entry kv.Entry) error {
	id, number, ok := records.ParseAdmissionKey(entry.Key)
	if !ok {
		return fmt.Errorf("record %s: malformed key", entry.Key)
	}
	var record records.AdmissionSlice
	err := wire.Decode(entry.Value, &record)
	if err == nil {
		err = l.core.LoadSlice(id, number, &record, entry.Revision)
	}
	if err != nil {
		logUnreadable(l.Log, entry.Key, err)
		l.core.Suspend(id)
	}
	return nil
}

// loadTermination loads the record of a termination. A record that cannot be decoded is logged and kept.
func (l *loader) loadTermination(entry kv.Entry) error {
	var record records.Termination
	if err := wire.Decode(entry.Value, &record); err != nil {
		logUnreadable(l.Log, entry.Key, err)
		return nil
	}
	l.core.LoadTermination(&record, entry.Revision)
	return nil
}

// logUnreadable logs a record that cannot be decoded. Such a record is never treated as absent. It does
// not end the term either: it would end every later term too, and no job would be scheduled.
func logUnreadable(log *slog.Logger, key string, err error) {
	log.Error("record unreadable", "key", key, "err", err)
}
