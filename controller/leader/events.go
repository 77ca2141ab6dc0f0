package leader

import (
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// Events without an answer. The core gets the time at which the event loop applies the event.

// commitResolved has the definite result of a change of records.
type commitResolved struct{ result records.CommitResult }

func (e commitResolved) applyTo(loop *eventLoop) {
	loop.core.CommitResult(loop.clock.Now(), e.result)
}

// workerCallFinished has the heartbeat with which a worker answered its commands, or nil without
// an answer.
type workerCallFinished struct {
	machine   ids.MachineID
	heartbeat *wire.Heartbeat
}

func (e workerCallFinished) applyTo(loop *eventLoop) {
	loop.core.CommandsResult(loop.clock.Now(), e.machine, e.heartbeat)
}

// heartbeatRequestFinished has the heartbeat that was requested from a worker, or nil without an
// answer.
type heartbeatRequestFinished struct {
	machine   ids.MachineID
	heartbeat *wire.Heartbeat
}

func (e heartbeatRequestFinished) applyTo(loop *eventLoop) {
	loop.core.HeartbeatRequestResult(loop.clock.Now(), e.machine, e.heartbeat)
}

// provisioningFinished has the machines that the cloud granted. granted is false if it had no
// capacity or rejected the request.
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

// terminationFinished has machines whose termination the cloud confirmed.
type terminationFinished struct{ machines []ids.MachineID }

func (e terminationFinished) applyTo(loop *eventLoop) {
	loop.core.MachinesTerminated(loop.clock.Now(), e.machines)
}

// machineListRead has the cloud's list of machines, and when it was requested.
type machineListRead struct {
	asked    monotonic.Instant
	machines []wire.Machine
}

func (e machineListRead) applyTo(loop *eventLoop) {
	loop.core.MachineList(loop.clock.Now(), e.asked, e.machines)
}

// catalogRead has the cloud's machine types and prices.
type catalogRead struct{ types []wire.MachineType }

func (e catalogRead) applyTo(loop *eventLoop) { loop.core.SetCatalog(e.types) }

// jobRecordObserved has a job's record from a notice, from the watch, or from a read. The core
// ignores outdated revisions, so records may arrive in any order.
type jobRecordObserved struct{ job JobRecord }

func (e jobRecordObserved) applyTo(loop *eventLoop) {
	loop.core.ObserveJob(loop.clock.Now(), e.job.ID, e.job.Record, e.job.Revision)
}

// watchAdvanced follows the events of all changes of jobs up to a revision.
type watchAdvanced struct{ revision ids.Revision }

func (e watchAdvanced) applyTo(loop *eventLoop) { loop.observed = e.revision }

// followersConfirmed means that every other controller follows this leader.
type followersConfirmed struct{}

func (followersConfirmed) applyTo(loop *eventLoop) {
	loop.core.AllControllersFollow(loop.clock.Now())
}

// versionGateOpened means that every controller can read split records.
type versionGateOpened struct{}

func (versionGateOpened) applyTo(loop *eventLoop) {
	loop.core.EnableSplitRecords(loop.clock.Now())
}

// heartbeatAnswers are the answers to heartbeats, and whether only machines with replicas could
// be answered when the core decided.
type heartbeatAnswers struct {
	answers      []peerapi.HeartbeatAnswer
	replicasOnly bool
}

// heartbeatsReceived has heartbeats of workers. A nil heartbeat is not answered.
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
