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
	host         ids.MachineID
	typ          ids.MachineType
	zone         ids.Zone
	spot         bool
	session      ids.AgentIncarnation
	sequence     ids.Sequence
	token        ids.FencingToken
	tasks        []*simTask
	sentAt       monotonic.Instant // of the last answered report, or the session's start
	cut          monotonic.Instant // unreachable until then
	hung         monotonic.Instant // executes and says nothing until then, but is reachable
	unreachable  monotonic.Instant // its reports arrive, but nothing reaches it, until then
	cannotReport monotonic.Instant // its reports do not arrive, but commands reach it, until then
	followsTerm  int               // the term to whose leader it reports
	dead         bool
	unhealthy    bool
	asking       bool
	last         monotonic.Instant
	reportSoon   bool
}

type simPlace struct {
	w *simWorker
	t *simTask
}

func (s *sim) report(w *simWorker) *wire.Heartbeat {
	w.sequence++
	r := &wire.Heartbeat{Machine: w.host, Endpoint: string(w.host), Type: w.typ, Zone: w.zone, Spot: w.spot,
		Incarnation: w.session, Sequence: w.sequence, FencingToken: w.token}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Name: t.ref.String(), Attempt: t.attempt, State: t.state, Cause: t.cause})
	}
	return r
}

func (s *sim) direct(w *simWorker, d wire.CommandBatch) *wire.Heartbeat {
	if d.FencingToken >= w.token && d.Incarnation == w.session {
		w.token = d.FencingToken
		s.execute(w, d.Commands)
	}
	return s.report(w)
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
			s.sent[ref.Job] = append(s.sent[ref.Job], simPlace{w, t})
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
				s.after(s.fetchTime(w, ref.Job), func() { s.start(w, t) })
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
		w.reportSoon = true
	}
}

// fetchTime is how long a task waits for its image: at random, unless a day models the
// zones' image caches.
func (s *sim) fetchTime(w *simWorker, job ids.JobID) time.Duration {
	if s.caches != nil {
		return s.caches.fetch(s, w, s.specs[job].Image)
	}
	return time.Duration(100+s.rng.IntN(2000)) * time.Millisecond
}

func (s *sim) here(w *simWorker, t *simTask) bool {
	return s.workers[w.host] == w && slices.Contains(w.tasks, t)
}

// start is when a task has its image. The rules are checked here.
func (s *sim) start(w *simWorker, t *simTask) {
	if s.now < w.hung {
		s.after(w.hung.Sub(s.now), func() { s.start(w, t) })
		return
	}
	if !s.here(w, t) || t.state != wire.TaskFetching || s.expired(w) {
		return
	}
	s.starts++
	t.state = wire.TaskRunning
	w.reportSoon = true
	spec := s.specs[t.ref.Job]
	if when, ok := s.toldCancelled[t.ref.Job]; ok {
		s.lateStart++
		if s.now > when.Add(simCancel) {
			s.violation("ran_cancelled: %s started", t.ref)
		}
	}
	for _, n := range spec.DependsOn {
		if s.status(n) != wire.JobDone {
			s.violation("too_early: %s started while %s is %s", t.ref, n, s.status(n))
		}
	}
	zones := map[ids.Zone]int{}
	for _, p := range s.sent[t.ref.Job] {
		if p.t.state != wire.TaskRunning || s.expired(p.w) || !s.here(p.w, p.t) {
			continue
		}
		zones[p.w.zone]++
		if p.t != t && p.t.ref == t.ref {
			s.violation("ran_twice: %s on %s and %s", t.ref, w.host, p.w.host)
		}
	}
	if s.starts%max(1, len(s.workers)/20) == 0 { // it looks at every task there is
		s.checkQuota()
	}
	if w.spot && !spec.Spot || spec.Zone != "" && spec.Zone != w.zone ||
		spec.Spread && zones[w.zone] > (spec.Tasks+1)/2 || spec.OneZone && len(zones) > 1 ||
		len(spec.Types) > 0 && !slices.Contains(spec.Types, w.typ) {
		s.violation("wrong_place: %s on %s in %s, zones %v", t.ref, w.host, w.zone, zones)
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
		if s.now < w.hung {
			s.after(w.hung.Sub(s.now), end)
			return
		}
		if !s.here(w, t) || t.state != wire.TaskRunning || s.expired(w) {
			return
		}
		t.state, t.cause = wire.TaskEnded, wire.CauseDone
		if fails {
			t.cause = wire.CauseError
		} else {
			s.completed[t.ref] = true
			if s.chance(s.cancelAtEnd) {
				s.after(time.Duration(s.rng.IntN(100))*time.Millisecond, func() { s.cancel(t.ref.Job) })
			}
		}
		w.reportSoon = true
	}
	s.after(run, end)
}

func (s *sim) checkQuota() {
	used := map[ids.Team]float64{}
	for _, o := range s.workers {
		for _, u := range o.tasks {
			if u.state == wire.TaskRunning && !s.expired(o) {
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

// expired tells whether a worker's lease has run out, whether or not it has
// got round to ending its tasks.
func (s *sim) expired(w *simWorker) bool { return w.dead || s.now > w.sentAt.Add(simLease) }

// workerStep has a worker do what is due: end its session or report.
func (s *sim) workerStep(w *simWorker) {
	if w.dead || s.now < w.hung {
		return
	}
	if s.now > w.sentAt.Add(simLease) {
		w.tasks = nil
		w.session++
		w.sentAt = s.now
	}
	due := s.now > w.last.Add(simReport) || w.reportSoon && s.now > w.last.Add(500*time.Millisecond)
	if w.asking || !due {
		return
	}
	w.asking, w.last, w.reportSoon = true, s.now, false
	sent, tenure, answered := s.now, w.session, false
	rep := s.report(w)
	finish := func() { w.asking = false }
	s.after(4*time.Second, func() {
		if !answered {
			answered = true
			finish()
		}
	})
	if s.now < max(w.cut, w.cannotReport, s.controllersDown) || s.apart(w) && s.old == nil {
		return
	}
	core := s.core
	if s.old != nil && (w.followsTerm == s.oldTerm && s.now >= s.islandUntil || s.apart(w)) {
		core = s.old
	} else {
		w.followsTerm = s.term
	}
	if s.chance(s.copies) { // a copy, from seconds to well over a lease later
		s.after(time.Duration(2+s.rng.IntN(90))*time.Second, func() { s.core.Heartbeat(s.now, rep) })
	}
	if s.chance(s.copies) && len(s.keptReports) < 50 {
		s.keptReports = append(s.keptReports, rep)
	}
	var arrive func()
	arrive = func() {
		if core != s.core && core != s.old {
			core = s.core
		}
		if left := s.pauseLeft(core); left > 0 {
			s.after(left, arrive)
			return
		}
		if s.now < s.controllersDown || core == s.core && (s.apart(w) || s.now >= s.sure.Add(simGrace)) {
			return
		}
		if core == s.old {
			s.restrictOld()
		}
		orders, ok := core.Heartbeat(s.now, rep)
		s.digest.add("answer", orders)
		if !ok {
			w.followsTerm = s.term
		}
		if !ok || s.chance(0.02) {
			return
		}
		s.after(s.latency(), func() {
			if answered || s.now < w.cut || s.now < w.unreachable || s.now < w.hung || w.dead {
				return
			}
			answered = true
			finish()
			if tenure != w.session || orders.FencingToken < w.token {
				return
			}
			w.token, w.sentAt = orders.FencingToken, sent
			s.execute(w, orders.Commands)
		})
	}
	s.after(s.latency(), arrive)
}

// apart tells whether only an old leader reaches a machine.
func (s *sim) apart(w *simWorker) bool { return w.zone == s.island && s.now < s.islandUntil }

func (s *sim) checkGone(id ids.JobID) {
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.ref.Job == id && t.state == wire.TaskRunning && !s.expired(w) {
				s.violation("ran_cancelled: %s is still on %s", t.ref, w.host)
			}
		}
	}
}
