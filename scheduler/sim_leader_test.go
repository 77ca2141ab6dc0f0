package scheduler

import (
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// stepLeader runs one step of a leader's core and carries its decisions out.
func (s *sim) stepLeader(l simLeader) {
	l.core.ObserveConnectivity(s.connectivityOf(l.core))
	decisions := l.core.Step(s.now)
	s.checkClusterState(l.core)
	s.digest.addDecisions(decisions)
	for _, change := range decisions.RecordChanges {
		// A change that was decided before all controllers were new may be sent after the
		// limits fell.
		sent := sentChange{simLeader: l, change: change, mustFit: l.core.opt.SplitRecords}
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
		l.terminate(decisions.Terminate)
	}
}

// simLeader stands in for the process of a leader around its core: it sends the commands,
// requests and changes that a core decides on, and delivers the results. Faults: lost
// responses, duplicated and delayed commands, a paused process, a previous leader that
// stays active, and results that arrive after the end of the term.
type simLeader struct {
	*sim
	core *Core
	term int
}

// deliver hands a result to the leader, unless its process or its term is over.
func (l simLeader) deliver(result func()) {
	l.afterPause(l.core, func() {
		if l.now >= l.controllersDownUntil && (l.sim.term == l.term || l.previousCore == l.core) {
			result()
		}
	})
}

// deliverAfter delivers a result after a time.
func (l simLeader) deliverAfter(d time.Duration, result func()) {
	l.after(d, func() { l.deliver(result) })
}

// reaches tells whether a message of the leader gets to a worker's zone.
func (l simLeader) reaches(w *simWorker) bool {
	return l.now >= l.isolatedZoneUntil || l.reachesOnlyPreviousLeader(w) == (l.previousCore == l.core)
}

// requestHeartbeat asks a worker for a heartbeat.
func (l simLeader) requestHeartbeat(machine ids.MachineID) {
	l.deliverAfter(l.latency(), func() {
		var heartbeat *wire.Heartbeat
		w := l.workers[machine]
		if w != nil && !w.dead && l.now >= max(w.partitionedUntil, w.commandsLostUntil, w.hungUntil) && l.reaches(w) {
			heartbeat = w.nextHeartbeat()
		}
		l.core.HeartbeatRequestResult(l.now, machine, heartbeat)
	})
}

// provision asks the cloud for machines. It answers once its outage is over.
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

// terminate has the cloud terminate machines, once its outage is over.
func (l simLeader) terminate(machines []ids.MachineID) {
	l.after(max(l.latency(), l.cloudOutageUntil.Sub(l.now)), func() {
		for _, machine := range machines {
			delete(l.workers, machine)
		}
		l.deliver(func() { l.core.MachinesTerminated(l.now, machines) })
	})
}

// sendCommands sends a machine the commands that wait for it.
func (l simLeader) sendCommands(machine ids.MachineID) {
	batch, _, ok := l.core.TakeCommands(l.now, machine)
	if !ok {
		return
	}
	l.digest.add("command", batch)
	call := &commandCall{simLeader: l, machine: machine, batch: batch}
	l.after(l.latency(), call.arrive)
	if l.chance(0.2) { // a duplicate, which may arrive after the commands were carried out
		l.after(time.Duration(1+l.rng.IntN(50))*time.Second, call.arrive)
	}
	l.after(2*time.Second, func() { call.finish(nil) })
}

// commandCall is a batch of commands in flight. The call ends with the first response, or
// without one at its timeout.
type commandCall struct {
	simLeader
	machine  ids.MachineID
	batch    wire.CommandBatch
	finished bool
}

// arrive is when the batch, or a duplicate of it, gets to its machine. A machine that hangs
// reads it when it goes on.
func (c *commandCall) arrive() {
	w := c.workers[c.machine]
	if w != nil && c.now < w.hungUntil {
		c.after(w.hungUntil.Sub(c.now), c.arrive)
		return
	}
	if w == nil || w.dead || c.now < w.partitionedUntil || c.now < w.commandsLostUntil || !c.reaches(w) {
		return
	}
	response := c.receiveCommands(w, c.batch)
	if !c.finished && !c.chance(0.03) { // else the response is lost
		c.after(2*time.Millisecond, func() { c.finish(response) })
	}
}

// finish ends the call with a response, or with nil for none.
func (c *commandCall) finish(response *wire.Heartbeat) {
	if c.finished {
		return
	}
	c.finished = true
	c.deliver(func() { c.core.CommandsResult(c.now, c.machine, response) })
}

// sentChange is a change of records that a leader decided on and that has no result yet.
type sentChange struct {
	simLeader
	change  records.Change
	mustFit bool // the leader knew the limits of the store
}

// commit sends the change to the store, as the committer does: without a response it is
// sent again until its outcome is known. Each precondition of a leader whose term is over
// fails, and no one waits for the result.
func (p sentChange) commit() {
	if p.now < max(p.storeOutageUntil, p.controllersDownUntil) || p.now < p.leaderRefusedUntil && p.sim.term == p.term {
		p.after(500*time.Millisecond, p.commit)
		return
	}
	if p.sim.term != p.term || p.leaderRevision == 0 {
		return
	}
	if !p.withinStoreLimits(p.change.Operations) {
		p.reject()
		return
	}
	applied, failed := p.applyTxn(p.change.Preconditions, p.change.Operations)
	if applied && len(p.change.Operations) > 1 && strings.HasPrefix(p.change.Operations[1].PutKey, records.AdmissionPrefix) {
		p.splitRecords++
	}
	result := records.CommitResult{Change: p.change, Revision: p.storeRevision}
	if !applied {
		result = records.CommitResult{Change: p.change, Err: &records.ConflictError{Keys: failed}}
	}
	wait := time.Duration(0)
	if p.chance(0.05) {
		wait = time.Duration(1+p.rng.IntN(4)) * time.Second
	}
	p.after(wait, func() { p.afterPause(p.core, func() { p.deliverResult(result) }) })
}

// reject reports a change that is beyond the limits of the store.
func (p sentChange) reject() {
	if p.mustFit {
		p.oversizedChanges++
	}
	p.after(0, func() { p.deliverResult(records.CommitResult{Change: p.change, Err: records.ErrRejected}) })
}

// deliverResult hands a result to the leader while its term lasts.
func (p sentChange) deliverResult(result records.CommitResult) {
	if p.sim.term == p.term {
		p.core.CommitResult(p.now, result)
	}
}
