package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
)

// A quarantined machine gets no tasks, since it is likely to be at fault. But the failures may have been those of jobs at
// fault, and there may be work that fits on no other machine. So a job that has waited a little and fits nowhere else
// gets one task on the machine, the probe, like a half-open circuit breaker. If the probe succeeds or runs for a
// while, the quarantine ends. If it fails, the next one waits, and the job that failed waits longer.

const (
	// probeWait is how long a job must have waited before it probes a quarantined machine. In the meantime
	// another machine may be provisioned for it.
	probeWait = 5 * time.Second
	// probeRunTime is the run time after which a probe counts as a success.
	probeRunTime = 10 * time.Second
	// minProbeInterval is the time between the first probe of a machine that failed and the next one. It doubles
	// with each further failure, up to maxProbeInterval.
	minProbeInterval = 5 * time.Second
	maxProbeInterval = 20 * time.Second
	// repeatedProbeInterval is the time since the last failure on a machine before a job probes it that has failed
	// there. It leaves the machine to jobs that have not.
	repeatedProbeInterval = 30 * time.Second
	// minJobProbeInterval is the time after which a job whose probe failed may probe again. It doubles with each
	// failure, up to maxJobProbeInterval. A machine that one job alone probes stays in quarantine, since each
	// failure begins it anew.
	minJobProbeInterval = 15 * time.Second
	maxJobProbeInterval = quarantinePeriod * 3 / 4
	// bootTimesAwaited is the number of boot times for which a job waits for a booting machine rather than
	// probing a quarantined one.
	bootTimesAwaited = 2
)

// admitProbes places the probes of waiting jobs that fit on no other machine than quarantined ones. Jobs that have not
// failed come first, since they show more about a machine.
func (r *admissionRound) admitProbes(waiting []*cluster.Job) {
	quarantined := r.quarantinedMachines(r.queue.clock.Now())
	if len(quarantined) == 0 {
		return
	}
	probing := r.probingJobs(waiting)
	for _, suspicion := range []jobSuspicion{neverFailed, failedElsewhere, failedHere} {
		for _, j := range probing {
			for _, m := range quarantined {
				if suspicionOf(j, m) != suspicion || suspicion == failedHere && r.failedRecently(m) {
					continue
				}
				if len(j.Pending()) > 0 && r.placeProbe(j, m) {
					break
				}
			}
		}
	}
}

// failedRecently reports whether a task has failed on a machine within repeatedProbeInterval.
func (r *admissionRound) failedRecently(m *cluster.Machine) bool {
	return r.queue.clock.Now() < m.Health.LastFailure.Add(repeatedProbeInterval)
}

// jobSuspicion represents how likely it is that a job rather than a machine is at fault.
type jobSuspicion uint8

const (
	neverFailed jobSuspicion = iota
	failedElsewhere
	failedHere // or the job fails everywhere
)

// suspicionOf returns the suspicion against a job with regard to a machine.
func suspicionOf(j *cluster.Job, m *cluster.Machine) jobSuspicion {
	_, failed := j.Failures.AntiAffinity[m.ID]
	switch {
	case failed, m.Health.FailuresByJob[j.ID] > 0, j.Failures.FailedRounds > 0:
		return failedHere
	case len(j.Failures.AntiAffinity) > 0:
		return failedElsewhere
	}
	return neverFailed
}

// probingJobs returns the waiting jobs that fit on no other machine than quarantined ones, and have waited long enough
// for a probe.
func (r *admissionRound) probingJobs(waiting []*cluster.Job) []*cluster.Job {
	now := r.queue.clock.Now()
	var jobs []*cluster.Job
	for _, j := range waiting {
		if len(j.Pending()) == 0 || !r.fitsQuota(j, borrowedQuota) || r.fitsElsewhere(j) {
			continue
		}
		r.rounds.RecheckAt(now.Add(probeRecheckInterval))
		if now >= max(j.Queue.WaitingSince.Add(probeWait), j.Failures.ProbeAt) {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// quarantinedMachines returns the machines that are in quarantine.
func (r *admissionRound) quarantinedMachines(now monotonic.Instant) []*cluster.Machine {
	var quarantined []*cluster.Machine
	for _, m := range r.cluster.Machines() {
		if now < m.Health.QuarantinedUntil {
			quarantined = append(quarantined, m)
		}
	}
	return quarantined
}

// probeRecheckInterval is the interval at which it is examined whether a machine should be probed, since a wait may
// end without any event.
const probeRecheckInterval = time.Second

// fitsElsewhere reports whether a task of a job could run on a machine that is not quarantined, once there is
// room, or on one that should boot soon.
func (r *admissionRound) fitsElsewhere(j *cluster.Job) bool {
	need := j.TaskResources()
	for _, m := range r.cluster.Machines() {
		if r.health.takesTasks(m) || r.bootsSoon(m) {
			if placement.Allowed(j.Spec, m.Site()) && need.FitsIn(m.Total()) {
				return true
			}
		}
	}
	return false
}

// bootsSoon reports whether a machine has been booting for no longer than machines of its type usually do.
func (r *admissionRound) bootsSoon(m *cluster.Machine) bool {
	if !m.Booting() || m.MachineType() == nil {
		return false
	}
	awaited := time.Duration(bootTimesAwaited * m.MachineType().BootS * float64(time.Second))
	return r.queue.clock.Now() < m.Lifecycle.KnownSince.Add(awaited)
}

// placeProbe places one task of a job on a quarantined machine, or all that must be placed together. It reports
// whether it did.
func (r *admissionRound) placeProbe(j *cluster.Job, m *cluster.Machine) bool {
	if !r.health.mayBeProbed(m) {
		return false // another job has placed a probe in this round
	}
	all := r.candidates.machines
	r.candidates.machines = []*cluster.Machine{m}
	defer func() { r.candidates.machines = all }()
	placed, _ := r.admitTasks(admissionAttempt{job: j, source: borrowedQuota, allOrNothing: j.NeedsAllTasks(), single: true})
	if len(placed) == 0 {
		return false
	}
	m.Health.Probe = placed[0]
	return true
}
