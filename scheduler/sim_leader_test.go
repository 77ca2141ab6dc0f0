package scheduler

import (
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// stepLeader runs one step of a leader's core and executes its decisions.
func (s *sim) stepLeader(l simLeader) {
	l.core.ObserveConnectivity(s.connectivityOf(l.core))
	if l.holdsLease() {
		l.core.ObserveLease(s.now)
	}
	decisions := l.core.Step(s.now)
	s.checkClusterState(l.core)
	s.digest.addDecisions(decisions)
	for _, change := range decisions.RecordChanges {
		// A change that was decided while a controller still had the old version may be sent
		// after the limits of the store were lowered. It may exceed them.
		sent := sentChange{simLeader: l, change: change, mustFit: l.core.records.settings.splitRecords}
		s.after(s.latency(), sent.commit)
	}
	for _, machine := range decisions.SendCommands {
		l.sendCommands(machine)
	}
	for _, machine := range decisions.RequestHeartbeats {
		l.requestHeartbeat(machine)
	}
	for _, job := range decisions.RereadJobs {
		l.deliverAfter(s.latency(), func() { s.watchJob(job) })
	}
	for _, request := range decisions.Provision {
		l.provision(request)
	}
	if len(decisions.Terminate) > 0 {
		l.terminate(decisions.Terminate, l.holdsLease)
	}
	if len(decisions.TerminateCancelled) > 0 {
		l.terminate(decisions.TerminateCancelled, l.acts)
	}
}

// simLeader simulates the process of a leader around its core. It sends the commands, requests and
// record changes that the core decides, and delivers the results to the core. Faults: lost responses,
// duplicated and delayed commands, a paused process, a previous leader that remains active, and results
// that arrive after the end of the term.
type simLeader struct {
	*sim
	core *Core
	term int
}

// deliver passes a result to the leader's core, unless the process is down or its term has ended.
func (l simLeader) deliver(result func()) {
	l.afterPause(l.core, func() {
		if l.now >= l.controllersDownUntil && (l.sim.term == l.term || l.previousCore == l.core) {
			result()
		}
	})
}

// deliverAfter delivers a result after a duration.
func (l simLeader) deliverAfter(d time.Duration, result func()) {
	l.after(d, func() { l.deliver(result) })
}

// canReach reports whether messages of the leader reach the zone of a worker.
func (l simLeader) canReach(w *simWorker) bool {
	return l.now >= l.isolatedZoneUntil || l.reachesOnlyPreviousLeader(w) == (l.previousCore == l.core)
}

// requestHeartbeat requests a heartbeat from a worker.
func (l simLeader) requestHeartbeat(machine ids.MachineID) {
	l.deliverAfter(l.latency(), func() {
		var heartbeat *wire.Heartbeat
		w := l.workers[machine]
		if w != nil && !w.dead && l.now >= max(w.partitionedUntil, w.commandsLostUntil, w.hungUntil) && l.canReach(w) {
			heartbeat = w.nextHeartbeat()
		}
		l.core.HeartbeatRequestResult(l.now, machine, heartbeat)
	})
}

// provision requests machines from the cloud. The response comes after an outage of the cloud has
// ended.
func (l simLeader) provision(request wire.ProvisionRequest) {
	l.after(max(80*time.Millisecond, l.cloudOutageUntil.Sub(l.now)), func() {
		machines := l.sim.provision(request)
		l.deliver(func() {
			if len(machines) == 0 {
				l.core.ProvisioningRefused(l.now, request)
				return
			}
			l.core.ProvisioningGranted(l.now, request, machines)
		})
	})
}

// holdsLease reports whether the leader holds its lease.
func (l simLeader) holdsLease() bool { return l.sim.term == l.term && l.now < l.leaseValidUntil }

// acts reports whether the leader may answer heartbeats.
func (l simLeader) acts() bool { return l.sim.term == l.term || l.previousCore == l.core }

// terminate has the cloud terminate machines, after an outage of the cloud has ended. The call is sent only
// while the leader is authorized, and may arrive when it is not any more.
func (l simLeader) terminate(machines []ids.MachineID, authorized func() bool) {
	if !authorized() || l.now < l.cloudOutageUntil {
		if l.acts() {
			l.after(cloudRetryInterval, func() { l.terminate(machines, authorized) })
		}
		return
	}
	l.after(l.latency(), func() {
		for _, machine := range machines {
			l.checkTermination(l.workers[machine], l.core.opt.Revision)
			delete(l.workers, machine)
		}
		l.deliver(func() { l.core.MachinesTerminated(l.now, machines) })
	})
}

// cloudRetryInterval is the time after which a call to the cloud that was not executed is sent again.
const cloudRetryInterval = time.Second

// sendCommands sends a machine its pending commands.
func (l simLeader) sendCommands(machine ids.MachineID) {
	batch, _, ok := l.core.TakeCommands(l.now, machine)
	if !ok {
		return
	}
	l.digest.add("command", batch)
	call := &commandCall{simLeader: l, machine: machine, batch: batch, sentAt: l.now}
	l.after(l.latency(), call.arrive)
	if l.chance(0.2) { // a duplicate, which may arrive after the commands were executed
		l.after(time.Duration(1+l.rng.IntN(50))*time.Second, call.arrive)
	}
	l.after(2*time.Second, func() { call.finish(nil) })
}

// commandCall represents a batch of commands in flight. The call ends with the first response or at
// its timeout.
type commandCall struct {
	simLeader
	machine  ids.MachineID
	batch    wire.CommandBatch
	sentAt   monotonic.Instant
	finished bool
}

// arrive delivers the batch, or a duplicate of it, to its machine. A machine that hangs reads it after
// the hang.
func (c *commandCall) arrive() {
	w := c.workers[c.machine]
	if w != nil && c.now < w.hungUntil {
		c.after(w.hungUntil.Sub(c.now), c.arrive)
		return
	}
	if w == nil || w.dead || c.now < w.partitionedUntil || c.now < w.commandsLostUntil || w.losesCommands(c.sentAt) || !c.canReach(w) {
		return
	}
	response := c.receiveCommands(w, c.batch)
	if !c.finished && !c.chance(0.03) { // otherwise the response is lost
		c.after(2*time.Millisecond, func() { c.finish(response) })
	}
}

// finish ends the call with a response, or with nil if there is none.
func (c *commandCall) finish(response *wire.Heartbeat) {
	if c.finished {
		return
	}
	c.finished = true
	c.deliver(func() { c.core.CommandsResult(c.now, c.machine, response) })
}

// sentChange represents a change of records in flight.
type sentChange struct {
	simLeader
	change  records.Change
	mustFit bool // whether the leader knew the limits of the store
}

// commit sends the change to the store, as the committer does. Without a response it is sent again
// until its result is known. After the leader's term all its preconditions fail, so the change is
// dropped: the result has no receiver.
func (c sentChange) commit() {
	if c.now < max(c.storeOutageUntil, c.controllersDownUntil) || c.now < c.leaderRefusedUntil && c.sim.term == c.term {
		c.after(500*time.Millisecond, c.commit)
		return
	}
	if c.sim.term != c.term || c.leaderRevision == 0 {
		return
	}
	if !c.withinStoreLimits(c.change.Operations) {
		c.reject()
		return
	}
	applied, failed := c.applyTxn(c.change.Preconditions, c.change.Operations)
	if applied && len(c.change.Operations) > 1 && strings.HasPrefix(c.change.Operations[1].PutKey, records.AdmissionPrefix) {
		c.splitRecords++
	}
	result := records.CommitResult{Change: c.change, Revision: c.storeRevision}
	if !applied {
		result = records.CommitResult{Change: c.change, Err: &records.ConflictError{Keys: failed}}
	}
	wait := time.Duration(0)
	if c.chance(0.05) {
		wait = time.Duration(1+c.rng.IntN(4)) * time.Second
	}
	c.after(wait, func() { c.afterPause(c.core, func() { c.deliverResult(result) }) })
}

// reject delivers the rejection of a change that exceeds the limits of the store.
func (c sentChange) reject() {
	if c.mustFit {
		c.oversizedChanges++
	}
	c.after(0, func() { c.deliverResult(records.CommitResult{Change: c.change, Err: records.ErrRejected}) })
}

// deliverResult passes a result to the leader's core, unless its term has ended.
func (c sentChange) deliverResult(result records.CommitResult) {
	if c.sim.term == c.term {
		c.core.CommitResult(c.now, result)
	}
}
