package leader

import (
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// The events in this file, except heartbeatsReceived, have no answer. The core receives the time at
// which the event loop applies the event.

// commitResolved holds the definite result of a change of records.
type commitResolved struct{ result records.CommitResult }

func (e commitResolved) applyTo(loop *eventLoop) {
	loop.core.CommitResult(loop.clock.Now(), e.result)
}

// commandsFinished holds the heartbeat with which a worker responded to commands. The heartbeat is nil
// if the call failed.
type commandsFinished struct {
	machine   ids.MachineID
	heartbeat *wire.Heartbeat
}

func (e commandsFinished) applyTo(loop *eventLoop) {
	loop.core.CommandsResult(loop.clock.Now(), e.machine, e.heartbeat)
}

// heartbeatRequestFinished holds the heartbeat that was requested from a worker. The heartbeat is nil
// if the call failed.
type heartbeatRequestFinished struct {
	machine   ids.MachineID
	heartbeat *wire.Heartbeat
}

func (e heartbeatRequestFinished) applyTo(loop *eventLoop) {
	loop.core.HeartbeatRequestResult(loop.clock.Now(), e.machine, e.heartbeat)
}

// provisioningFinished holds the machines that the cloud provisioned for a request. granted is false
// if the cloud had no capacity or rejected the request.
type provisioningFinished struct {
	request  wire.ProvisionRequest
	machines []ids.MachineID
	granted  bool
}

func (e provisioningFinished) applyTo(loop *eventLoop) {
	if !e.granted {
		loop.core.ProvisioningRefused(loop.clock.Now(), e.request)
		return
	}
	loop.core.ProvisioningGranted(loop.clock.Now(), e.request, e.machines)
}

// terminationFinished holds machines whose termination the cloud confirmed.
type terminationFinished struct{ machines []ids.MachineID }

func (e terminationFinished) applyTo(loop *eventLoop) {
	loop.core.MachinesTerminated(loop.clock.Now(), e.machines)
}

// machineListRead holds the cloud's list of machines and the time at which it was requested.
type machineListRead struct {
	requestedAt monotonic.Instant
	machines    []wire.Machine
}

func (e machineListRead) applyTo(loop *eventLoop) {
	loop.core.MachineList(loop.clock.Now(), e.requestedAt, e.machines)
}

// catalogRead holds the cloud's machine types and prices.
type catalogRead struct{ types []wire.MachineType }

func (e catalogRead) applyTo(loop *eventLoop) { loop.core.SetCatalog(e.types) }

// jobRecordObserved holds a job's record from a notification, from the watch, or from a read. The core
// ignores outdated revisions, so records may arrive in any order.
type jobRecordObserved struct{ job JobRecord }

func (e jobRecordObserved) applyTo(loop *eventLoop) {
	loop.core.ObserveJob(loop.clock.Now(), e.job.ID, e.job.Record, e.job.Revision)
}

// watchAdvanced holds the revision up to which the events of all changes of jobs are already posted.
type watchAdvanced struct{ revision ids.Revision }

func (e watchAdvanced) applyTo(loop *eventLoop) { loop.observedRevision = e.revision }

// followerConfirmed represents the confirmation that one other controller follows this leader.
type followerConfirmed struct{ controller ids.ControllerName }

func (e followerConfirmed) applyTo(loop *eventLoop) {
	loop.core.ControllerFollows(loop.clock.Now(), e.controller)
}

// followersConfirmed represents the confirmation that every other controller follows this leader.
type followersConfirmed struct{}

func (followersConfirmed) applyTo(loop *eventLoop) {
	loop.core.AllControllersFollow(loop.clock.Now())
}

// versionGateOpened represents the opening of the version gate: every controller can read split records.
type versionGateOpened struct{}

func (versionGateOpened) applyTo(loop *eventLoop) {
	loop.core.EnableSplitRecords(loop.clock.Now())
}

// heartbeatAnswers holds the answers to heartbeats. replicasOnly reports whether the core was
// restricted to machines with replicas when it answered.
type heartbeatAnswers struct {
	answers      []peerapi.HeartbeatAnswer
	replicasOnly bool
}

// heartbeatsReceived holds heartbeats of workers. The event loop sends an answer for each on reply,
// which must have a buffer. The answer to a nil heartbeat is the zero value.
type heartbeatsReceived struct {
	heartbeats []*wire.Heartbeat
	reply      chan<- heartbeatAnswers
}

func (e heartbeatsReceived) applyTo(loop *eventLoop) {
	replicasOnly := loop.term.RestrictedToReplicas()
	loop.core.RestrictToReplicas(replicasOnly)
	answers := make([]peerapi.HeartbeatAnswer, len(e.heartbeats))
	for i, heartbeat := range e.heartbeats {
		if heartbeat != nil {
			answers[i].Response, answers[i].OK = loop.core.Heartbeat(loop.clock.Now(), heartbeat)
		}
	}
	e.reply <- heartbeatAnswers{answers: answers, replicasOnly: replicasOnly}
}
