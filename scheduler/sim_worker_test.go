package scheduler

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

type simTask struct {
	ref     ids.TaskRef
	attempt ids.Attempt
	state   wire.TaskState
	cause   wire.ExitCause
}

type simWorker struct {
	id                  ids.MachineID
	machineType         ids.MachineType
	zone                ids.Zone
	spot                bool
	incarnation         ids.AgentIncarnation
	sequence            ids.Sequence
	token               ids.FencingToken
	tasks               []*simTask
	leaseRenewedAt      monotonic.Instant // of the last answered report, or the session's start
	partitionedUntil    monotonic.Instant // unreachable until then
	hungUntil           monotonic.Instant // executes and says nothing until then, but is reachable
	commandsLostUntil   monotonic.Instant // its reports arrive, but nothing reaches it, until then
	heartbeatsLostUntil monotonic.Instant // its reports do not arrive, but commands reach it, until then
	followsTerm         int               // the term to whose leader it reports
	dead                bool
	unhealthy           bool
	heartbeatInFlight   bool
	lastHeartbeatAt     monotonic.Instant
	statusChanged       bool
}

type simPlacement struct {
	worker *simWorker
	task   *simTask
}

func (s *sim) newHeartbeat(w *simWorker) *wire.Heartbeat {
	w.sequence++
	r := &wire.Heartbeat{Machine: w.id, Endpoint: string(w.id), Type: w.machineType, Zone: w.zone, Spot: w.spot,
		Incarnation: w.incarnation, Sequence: w.sequence, FencingToken: w.token}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Name: t.ref.String(), Attempt: t.attempt, State: t.state, Cause: t.cause})
	}
	return r
}

func (s *sim) receiveCommands(w *simWorker, d wire.CommandBatch) *wire.Heartbeat {
	if d.FencingToken >= w.token && d.Incarnation == w.incarnation {
		w.token = d.FencingToken
		s.execute(w, d.Commands)
	}
	return s.newHeartbeat(w)
}

func (s *sim) execute(w *simWorker, orders []wire.Command) {
	for _, o := range orders {
		ref, _ := ids.ParseTask(o.Name)
		i := slices.IndexFunc(w.tasks, func(t *simTask) bool { return t.ref == ref && t.attempt == o.Attempt })
		switch o.Verb {
		case wire.VerbRun:
			if i >= 0 {
				continue
			}
			t := &simTask{ref: ref, attempt: o.Attempt, state: wire.TaskFetching}
			w.tasks = append(w.tasks, t)
			s.placements[ref.Job] = append(s.placements[ref.Job], simPlacement{w, t})
			used := 0.0
			for _, other := range w.tasks {
				if other.state != wire.TaskEnded {
					used += s.specs[other.ref.Job].CPUs
				}
				if other != t && other.ref == ref {
					t.state, t.cause = wire.TaskEnded, wire.CauseInUse
				}
			}
			if t.state == wire.TaskFetching && used > s.typeOf(w).CPUs+1e-9 {
				t.state, t.cause = wire.TaskEnded, wire.CauseFull
			}
			if t.state == wire.TaskFetching {
				s.after(s.fetchTime(w, ref.Job), func() { s.startTask(w, t) })
			}
		case wire.VerbKill:
			if i >= 0 && w.tasks[i].state != wire.TaskEnded {
				w.tasks[i].state, w.tasks[i].cause = wire.TaskEnded, wire.CauseStopped
			}
		case wire.VerbReap:
			if i >= 0 && w.tasks[i].state == wire.TaskEnded {
				w.tasks = slices.Delete(w.tasks, i, i+1)
			}
		}
		w.statusChanged = true
	}
}

// fetchTime is how long a task waits for its image: at random, unless a day models the
// zones' image caches.
func (s *sim) fetchTime(w *simWorker, job ids.JobID) time.Duration {
	if s.imageCaches != nil {
		return s.imageCaches.fetch(s, w, s.specs[job].Image)
	}
	return time.Duration(100+s.rng.IntN(2000)) * time.Millisecond
}

func (s *sim) holdsTask(w *simWorker, t *simTask) bool {
	return s.workers[w.id] == w && slices.Contains(w.tasks, t)
}

// startTask is when a task has its image. The rules are checked here.
func (s *sim) startTask(w *simWorker, t *simTask) {
	if s.now < w.hungUntil {
		s.after(w.hungUntil.Sub(s.now), func() { s.startTask(w, t) })
		return
	}
	if !s.holdsTask(w, t) || t.state != wire.TaskFetching || s.leaseExpired(w) {
		return
	}
	s.starts++
	t.state = wire.TaskRunning
	w.statusChanged = true
	spec := s.specs[t.ref.Job]
	if when, ok := s.cancelAcknowledgedAt[t.ref.Job]; ok {
		s.startsAfterCancel++
		if s.now > when.Add(simCancelDeadline) {
			s.violation("ran_cancelled: %s started", t.ref)
		}
	}
	for _, n := range spec.DependsOn {
		if s.status(n) != wire.JobDone {
			s.violation("too_early: %s started while %s is %s", t.ref, n, s.status(n))
		}
	}
	zones := map[ids.Zone]int{}
	for _, p := range s.placements[t.ref.Job] {
		if p.task.state != wire.TaskRunning || s.leaseExpired(p.worker) || !s.holdsTask(p.worker, p.task) {
			continue
		}
		zones[p.worker.zone]++
		if p.task != t && p.task.ref == t.ref {
			s.violation("ran_twice: %s on %s and %s", t.ref, w.id, p.worker.id)
		}
	}
	if s.starts%max(1, len(s.workers)/20) == 0 { // it looks at every task there is
		s.checkQuota()
	}
	if w.spot && !spec.Spot || spec.Zone != "" && spec.Zone != w.zone ||
		spec.Spread && zones[w.zone] > (spec.Tasks+1)/2 || spec.OneZone && len(zones) > 1 ||
		len(spec.Types) > 0 && !slices.Contains(spec.Types, w.machineType) {
		s.violation("wrong_place: %s on %s in %s, zones %v", t.ref, w.id, w.zone, zones)
	}
	if spec.Service {
		return
	}
	run := time.Duration(1+s.rng.IntN(25)) * time.Second * time.Duration(max(1, s.runFactor))
	if s.completed[t.ref] {
		run = 0
	}
	fails := w.unhealthy || s.failing[t.ref.Job] || s.chance(0.1)
	var end func()
	end = func() {
		if s.now < w.hungUntil {
			s.after(w.hungUntil.Sub(s.now), end)
			return
		}
		if !s.holdsTask(w, t) || t.state != wire.TaskRunning || s.leaseExpired(w) {
			return
		}
		t.state, t.cause = wire.TaskEnded, wire.CauseDone
		if fails {
			t.cause = wire.CauseError
		} else {
			s.completed[t.ref] = true
			if s.chance(s.cancelAtEndChance) {
				s.after(time.Duration(s.rng.IntN(100))*time.Millisecond, func() { s.cancel(t.ref.Job) })
			}
		}
		w.statusChanged = true
	}
	s.after(run, end)
}

func (s *sim) checkQuota() {
	used := map[ids.Team]float64{}
	for _, o := range s.workers {
		for _, u := range o.tasks {
			if u.state == wire.TaskRunning && !s.leaseExpired(o) {
				used[s.specs[u.ref.Job].Team] += s.specs[u.ref.Job].CPUs
			}
		}
	}
	for _, team := range s.opt.Teams {
		if used[team.Name] > team.Limit.CPUs+1e-9 {
			s.violation("quota: %s uses %v", team.Name, used[team.Name])
		}
	}
}

// leaseExpired tells whether a worker's lease has run out, whether or not it has
// got round to ending its tasks.
func (s *sim) leaseExpired(w *simWorker) bool {
	return w.dead || s.now > w.leaseRenewedAt.Add(simAgentLease)
}

// workerStep has a worker do what is due: end its session or report.
func (s *sim) workerStep(w *simWorker) {
	if w.dead || s.now < w.hungUntil {
		return
	}
	if s.now > w.leaseRenewedAt.Add(simAgentLease) {
		w.tasks = nil
		w.incarnation++
		w.leaseRenewedAt = s.now
	}
	due := s.now > w.lastHeartbeatAt.Add(simHeartbeatInterval) || w.statusChanged && s.now > w.lastHeartbeatAt.Add(500*time.Millisecond)
	if w.heartbeatInFlight || !due {
		return
	}
	w.heartbeatInFlight, w.lastHeartbeatAt, w.statusChanged = true, s.now, false
	sent, tenure, answered := s.now, w.incarnation, false
	rep := s.newHeartbeat(w)
	finish := func() { w.heartbeatInFlight = false }
	s.after(4*time.Second, func() {
		if !answered {
			answered = true
			finish()
		}
	})
	if s.now < max(w.partitionedUntil, w.heartbeatsLostUntil, s.controllersDownUntil) || s.reachesOnlyPreviousLeader(w) && s.previousCore == nil {
		return
	}
	core := s.core
	if s.previousCore != nil && (w.followsTerm == s.previousTerm && s.now >= s.isolatedZoneUntil || s.reachesOnlyPreviousLeader(w)) {
		core = s.previousCore
	} else {
		w.followsTerm = s.term
	}
	if s.chance(s.duplicateChance) { // a copy, from seconds to well over a lease later
		s.after(time.Duration(2+s.rng.IntN(90))*time.Second, func() { s.core.Heartbeat(s.now, rep, false) })
	}
	if s.chance(s.duplicateChance) && len(s.delayedHeartbeats) < 50 {
		s.delayedHeartbeats = append(s.delayedHeartbeats, rep)
	}
	var arrive func()
	arrive = func() {
		if core != s.core && core != s.previousCore {
			core = s.core
		}
		if left := s.pauseLeft(core); left > 0 {
			s.after(left, arrive)
			return
		}
		if s.now < s.controllersDownUntil || core == s.core && (s.reachesOnlyPreviousLeader(w) || s.now >= s.leaseValidUntil.Add(simPreviousLeaderGrace)) {
			return
		}
		if core == s.previousCore {
			s.restrictPreviousLeader()
		}
		orders, ok := core.Heartbeat(s.now, rep, false)
		s.digest.add("answer", orders)
		if !ok {
			w.followsTerm = s.term
		}
		if !ok || s.chance(0.02) {
			return
		}
		s.after(s.latency(), func() {
			if answered || s.now < w.partitionedUntil || s.now < w.commandsLostUntil || s.now < w.hungUntil || w.dead {
				return
			}
			answered = true
			finish()
			if tenure != w.incarnation || orders.FencingToken < w.token {
				return
			}
			w.token, w.leaseRenewedAt = orders.FencingToken, sent
			s.execute(w, orders.Commands)
		})
	}
	s.after(s.latency(), arrive)
}

// reachesOnlyPreviousLeader tells whether only an old leader reaches a machine.
func (s *sim) reachesOnlyPreviousLeader(w *simWorker) bool {
	return w.zone == s.isolatedZone && s.now < s.isolatedZoneUntil
}

func (s *sim) checkCancelledJobStopped(id ids.JobID) {
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.ref.Job == id && t.state == wire.TaskRunning && !s.leaseExpired(w) {
				s.violation("ran_cancelled: %s is still on %s", t.ref, w.id)
			}
		}
	}
}
