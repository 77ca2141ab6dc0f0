package leader

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/zonerecovery"
)

// The events in this file have an answer. Each reply channel has a buffer of one, so the event loop
// never blocks on a requester that has given up.

// cancellationAcknowledgementRequested holds the record of a cancelled job. The core observes the
// record. The answer reports whether the cancellation may be acknowledged to users, which requires the lease.
type cancellationAcknowledgementRequested struct {
	job   JobRecord
	reply chan<- bool
}

func (e cancellationAcknowledgementRequested) applyTo(loop *eventLoop) {
	now := loop.clock.Now()
	loop.core.ObserveJob(now, e.job.ID, e.job.Record, e.job.Revision)
	e.reply <- loop.observeLease() && loop.core.CanAcknowledgeCancel(now, e.job.ID)
}

// progressRequested requests the progress of jobs. The answer omits the jobs that the core does not
// know.
type progressRequested struct {
	jobs  []ids.JobID
	reply chan<- map[ids.JobID]scheduler.Progress
}

func (e progressRequested) applyTo(loop *eventLoop) {
	known := make(map[ids.JobID]scheduler.Progress, len(e.jobs))
	for _, id := range e.jobs {
		if progress, ok := loop.core.Progress(id); ok {
			known[id] = progress
		}
	}
	e.reply <- known
}

// zoneStatusRequested requests the conditions of all zones.
type zoneStatusRequested struct {
	reply chan<- []zonerecovery.Status
}

func (e zoneStatusRequested) applyTo(loop *eventLoop) {
	e.reply <- loop.core.ZoneStatus(loop.clock.Now())
}

// acceptedOverride identifies an override that the core has accepted; see zoneOverrideCheckRequested.
// If recoveryEnabled is false, zone recovery is disabled and the core has ignored the override.
type acceptedOverride struct {
	number          uint64
	recoveryEnabled bool
}

// zoneOverrideRequested requests that the core apply an operator's override.
type zoneOverrideRequested struct {
	zone     ids.Zone
	override zonerecovery.Override
	reply    chan<- acceptedOverride
}

func (e zoneOverrideRequested) applyTo(loop *eventLoop) {
	number, recoveryEnabled := loop.core.OverrideZone(loop.clock.Now(), e.zone, e.override)
	e.reply <- acceptedOverride{number: number, recoveryEnabled: recoveryEnabled}
}

// zoneOverrideCheckRequested requests a check of an override. The answer reports whether the override
// is recorded.
type zoneOverrideCheckRequested struct {
	zone   ids.Zone
	number uint64
	reply  chan<- bool
}

func (e zoneOverrideCheckRequested) applyTo(loop *eventLoop) {
	e.reply <- loop.core.ZoneOverrideRecorded(e.zone, e.number)
}
