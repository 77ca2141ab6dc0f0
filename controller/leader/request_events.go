package leader

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Events with an answer. Each reply channel has a buffer of one, so the event loop never blocks on
// a requester that has given up.

// cancellationAcknowledgementAsked has the core observe the record of a cancelled job, and asks
// whether the cancellation may be acknowledged.
type cancellationAcknowledgementAsked struct {
	job   JobRecord
	reply chan<- bool
}

func (e cancellationAcknowledgementAsked) applyTo(loop *eventLoop) {
	now := loop.clock.Now()
	loop.core.ObserveJob(now, e.job.ID, e.job.Record, e.job.Revision)
	e.reply <- loop.core.CanAcknowledgeCancel(now, e.job.ID)
}

// progressAsked asks for the progress of those of the jobs that the core knows.
type progressAsked struct {
	jobs  []ids.JobID
	reply chan<- map[ids.JobID]scheduler.Progress
}

func (e progressAsked) applyTo(loop *eventLoop) {
	known := make(map[ids.JobID]scheduler.Progress, len(e.jobs))
	for _, id := range e.jobs {
		if progress, ok := loop.core.Progress(id); ok {
			known[id] = progress
		}
	}
	e.reply <- known
}

// zoneStatusAsked asks for the conditions of all zones.
type zoneStatusAsked struct {
	reply chan<- []zonerecovery.Status
}

func (e zoneStatusAsked) applyTo(loop *eventLoop) {
	e.reply <- loop.core.ZoneStatus(loop.clock.Now())
}

// overrideTicket identifies an override that the core has accepted; see zoneOverrideRecordedAsked.
// watched is false if zone recovery is disabled; the core ignores the override then.
type overrideTicket struct {
	number  uint64
	watched bool
}

// zoneOverrideAsked has the core apply an operator's override.
type zoneOverrideAsked struct {
	zone     ids.Zone
	override zonerecovery.Override
	reply    chan<- overrideTicket
}

func (e zoneOverrideAsked) applyTo(loop *eventLoop) {
	number, watched := loop.core.OverrideZone(loop.clock.Now(), e.zone, e.override)
	e.reply <- overrideTicket{number: number, watched: watched}
}

// zoneOverrideRecordedAsked asks whether an override is recorded.
type zoneOverrideRecordedAsked struct {
	zone   ids.Zone
	number uint64
	reply  chan<- bool
}

func (e zoneOverrideRecordedAsked) applyTo(loop *eventLoop) {
	e.reply <- loop.core.ZoneOverrideRecorded(e.zone, e.number)
}
