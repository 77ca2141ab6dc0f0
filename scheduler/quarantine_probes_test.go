package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// faultyAgents simulates the agents of machines in two zones. A task runs for two seconds. It fails if its machine or
// its job is at fault.
type faultyAgents struct {
	*harness
	zones   map[ids.MachineID]ids.Zone
	faulty  map[ids.MachineID]bool
	tokens  map[ids.MachineID]ids.FencingToken
	tasks   map[ids.MachineID][]wire.TaskStatus
	endsAt  map[string]monotonic.Instant
	starts  map[ids.JobID]int
	waiting map[ids.JobID]monotonic.Instant // since when each sound job waits
	// replaced is the number of machines that were terminated.
	replaced int
}

// faultyJob is the prefix of the IDs of jobs that fail on every machine.
const faultyJob = "job-bad"

func newFaultyAgents(t *testing.T) *faultyAgents {
	t.Helper()
	f := &faultyAgents{harness: newHarness(t, Options{}), zones: map[ids.MachineID]ids.Zone{}, faulty: map[ids.MachineID]bool{}, tokens: map[ids.MachineID]ids.FencingToken{},
		tasks: map[ids.MachineID][]wire.TaskStatus{}, endsAt: map[string]monotonic.Instant{}, starts: map[ids.JobID]int{}, waiting: map[ids.JobID]monotonic.Instant{}}
	f.c.Begin(f.now)
	return f
}

// run simulates a duration.
func (f *faultyAgents) run(d time.Duration) {
	for until := f.now.Add(d); f.now < until; {
		f.now = f.now.Add(500 * time.Millisecond)
		for _, machine := range f.step().Terminate {
			f.replace(machine)
		}
		for _, machine := range sortedKeys(f.zones) {
			f.exchange(machine)
		}
	}
}

// replace terminates a machine, and has a sound one boot in its zone.
func (f *faultyAgents) replace(machine ids.MachineID) {
	zone := f.zones[machine]
	delete(f.zones, machine)
	delete(f.tasks, machine)
	f.c.MachinesTerminated(f.now, []ids.MachineID{machine})
	f.replaced++
	f.zones[ids.MachineID(fmt.Sprintf("n-new-%d", f.replaced))] = zone
}

// sortedKeys returns the machines in order.
func sortedKeys(zones map[ids.MachineID]ids.Zone) []ids.MachineID {
	var machines []ids.MachineID
	for machine := range zones {
		machines = append(machines, machine)
	}
	slices.Sort(machines)
	return machines
}

// exchange sends the heartbeat of a machine and carries out the commands of the response.
func (f *faultyAgents) exchange(machine ids.MachineID) {
	for i := range f.tasks[machine] {
		task := &f.tasks[machine][i]
		if task.State != wire.TaskEnded && f.now >= f.endsAt[task.Name] {
			task.State, task.Cause = wire.TaskEnded, wire.CauseDone
			if f.faulty[machine] || strings.HasPrefix(task.Name, faultyJob) {
				task.Cause = wire.CauseError
			}
		}
	}
	response := f.heartbeat(machine, f.zones[machine], f.tokens[machine], f.tasks[machine]...)
	f.tokens[machine] = max(f.tokens[machine], response.FencingToken)
	for _, command := range response.Commands {
		f.tasks[machine] = slices.DeleteFunc(f.tasks[machine], func(t wire.TaskStatus) bool { return t.Name == command.Name })
		if command.Verb == wire.VerbRun {
			f.tasks[machine] = append(f.tasks[machine], wire.TaskStatus{Name: command.Name, Attempt: command.Attempt, State: wire.TaskRunning})
			ref, _ := ids.ParseTask(command.Name)
			f.endsAt[command.Name] = f.now.Add(2 * time.Second)
			if j := f.c.cluster.Job(ref.Job); j != nil && j.Spec.Service {
				f.endsAt[command.Name] = f.now.Add(time.Hour)
			}
			f.starts[ref.Job]++
		}
	}
}

// keepMachine runs a replica in a zone, so that one of its machines is never idle, and so never terminated.
func (f *faultyAgents) keepMachine(zone ids.Zone) {
	f.submit(ids.JobID("job-service-"+string(zone)), wire.JobSpec{Class: "s", Tasks: 1, CPUs: 1, Service: true, Priority: wire.Critical, Zone: zone})
	f.run(time.Second)
}

// cancelJob has the core observe that a user cancelled a job.
func (f *faultyAgents) cancelJob(id ids.JobID) {
	f.c.ObserveJob(f.now, id, &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: &wire.JobSpec{Team: "red"}}, 900+ids.Revision(len(f.starts)))
}

// A job with a mistake quarantines the only machine of its zone, and its user cancels it. A sound job must then start
// at once, and without the cancellation after a probe.
func TestJobWithAMistakeDoesNotCloseTheOnlyMachine(t *testing.T) {
	for cancelled, doneWithin := range map[bool]time.Duration{true: 8 * time.Second, false: 40 * time.Second} {
		t.Run(fmt.Sprintf("cancelled: %v", cancelled), func(t *testing.T) {
			f := newFaultyAgents(t)
			f.zones["n-1"], f.zones["n-2"] = "a", "b"
			f.run(2 * time.Second)
			f.keepMachine("a")
			f.submit("job-bad1", wire.JobSpec{Class: "c", Tasks: 3, Zone: "a"})
			f.run(10 * time.Second)
			if f.now >= f.c.cluster.Machine("n-1").Health.QuarantinedUntil {
				t.Fatal("the machine is not quarantined")
			}
			if cancelled {
				f.cancelJob("job-bad1")
			}
			f.submit("job-sound", wire.JobSpec{Class: "c", Tasks: 2, Zone: "a"})
			f.run(doneWithin)
			if f.c.cluster.Job("job-sound") != nil {
				t.Errorf("the sound job is not done, %d of its tasks have started", f.starts["job-sound"])
			}
		})
	}
}

// While another machine fits, a machine at which every task fails must get no probes, as its tasks would fail.
func TestQuarantinedMachineIsNotProbedWhileAnotherFits(t *testing.T) {
	f := newFaultyAgents(t)
	f.zones["n-1"] = "a"
	f.run(2 * time.Second)
	f.keepMachine("a")
	f.zones["n-2"], f.faulty["n-1"] = "a", true
	f.run(2 * time.Second)
	for n := range 30 {
		f.submit(ids.JobID(fmt.Sprintf("job-%d", n)), wire.JobSpec{Class: "c", Tasks: 4, Zone: "a"})
	}
	f.run(15 * time.Second)
	failed := f.c.cluster.Machine("n-1").Health.FailuresByJob
	before := len(failed)
	f.run(60 * time.Second)
	if f.now >= f.c.cluster.Machine("n-1").Health.QuarantinedUntil || before == 0 || len(failed) != before {
		t.Errorf("%d jobs failed on the faulty machine at first, %d in all; quarantined until %v, now %v", before, len(failed), f.c.cluster.Machine("n-1").Health.QuarantinedUntil, f.now)
	}
}

// Over mixes of faulty jobs and faulty machines: no sound job waits 90 s while a sound machine has room for it.
func TestSoundJobsStartBesideSoundMachines(t *testing.T) {
	const longestWait = 90 * time.Second
	for seed := range seedCount(40) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newFaultyAgents(t)
		for n := range 1 + rng.IntN(5) {
			machine := ids.MachineID(fmt.Sprintf("n-%d", n))
			f.zones[machine] = []ids.Zone{"a", "b"}[rng.IntN(2)]
		}
		f.run(2 * time.Second)
		f.keepMachine("a")
		f.keepMachine("b")
		for _, machine := range sortedKeys(f.zones) {
			f.faulty[machine] = rng.IntN(4) == 0 // from now on; replicas run on
		}
		for round := range 40 {
			f.submitMixed(rng, round)
			f.run(5 * time.Second)
			for id, since := range f.waiting {
				if waited := f.now.Sub(since); waited >= longestWait && f.fitsSoundMachine(id) && f.starts[id] == 0 {
					t.Fatalf("seed %d: %s has waited %v beside a sound machine", seed, id, waited)
				}
			}
		}
	}
}

// submitMixed submits a job at random, often one that is at fault, and cancels some of those.
func (f *faultyAgents) submitMixed(rng *rand.Rand, round int) {
	zone := []ids.Zone{"a", "b", ""}[rng.IntN(3)]
	switch rng.IntN(4) {
	case 0:
		f.submit(ids.JobID(fmt.Sprintf("%s-%d", faultyJob, round)), wire.JobSpec{Class: "c", Tasks: 1 + rng.IntN(3), Zone: zone})
	case 1:
		f.cancelJob(ids.JobID(fmt.Sprintf("%s-%d", faultyJob, rng.IntN(round+1))))
	default:
		id := ids.JobID(fmt.Sprintf("job-sound-%d", round))
		f.submit(id, wire.JobSpec{Class: "c", Tasks: 1, CPUs: 1, Zone: zone})
		f.waiting[id] = f.now
	}
}

// fitsSoundMachine reports whether a sound machine that a job may use has room for a task of one CPU.
func (f *faultyAgents) fitsSoundMachine(id ids.JobID) bool {
	j := f.c.cluster.Job(id)
	if j == nil {
		return false
	}
	for machine, zone := range f.zones {
		running := 0
		for _, task := range f.tasks[machine] {
			if task.State != wire.TaskEnded {
				running++
			}
		}
		if !f.faulty[machine] && (j.Spec.Zone == "" || j.Spec.Zone == zone) && running < 2 {
			return true
		}
	}
	return false
}

// Probes must not cost more attempts than a quarantine of a fixed time did: where a faulty machine, or a job at fault, fits
// nothing else, all tasks for which the machine had room failed each time that it ended.
func TestProbesCostNoMoreAttempts(t *testing.T) {
	for _, c := range []struct {
		name        string
		jobs, tasks int
		prefix      string
		faulty      bool
		most        int // starts in ten minutes with quarantines of two minutes and without probes
	}{
		{"one array on a faulty machine", 1, 10, "job-sound", true, 35},
		{"ten jobs on a faulty machine", 10, 1, "job-sound", true, 35},
		{"a job at fault on a sound machine", 1, 3, faultyJob, false, 15},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFaultyAgents(t)
			f.zones["n-1"] = "a"
			f.run(2 * time.Second)
			f.keepMachine("a")
			f.faulty["n-1"] = c.faulty
			for n := range c.jobs {
				f.submit(ids.JobID(fmt.Sprintf("%s-%d", c.prefix, n)), wire.JobSpec{Class: "c", Tasks: c.tasks, CPUs: 1, Zone: "a"})
			}
			f.run(10 * time.Minute)
			starts := 0
			for id, n := range f.starts {
				if strings.HasPrefix(string(id), c.prefix) {
					starts += n
				}
			}
			if starts > c.most {
				t.Errorf("%d starts, want at most %d", starts, c.most)
			}
		})
	}
}

// The quarantine must end once a probe succeeds or has run for a while. Otherwise one task after the other would find
// out the same.
func TestSuccessfulProbeEndsTheQuarantine(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		h := newHarness(t, Options{})
		token, _ := h.runTask()
		m := h.c.cluster.Machine("n-1")
		probe := h.c.cluster.Job("job-1").Active()[0]
		m.Health.QuarantinedUntil, m.Health.QuarantinedForFailures, m.Health.Probe = h.now.Add(quarantinePeriod), true, probe
		if longRunning {
			h.now = h.now.Add(probeRunTime)
			h.step()
		} else {
			h.heartbeat("n-1", "a", token, wire.TaskStatus{Name: "job-1/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseDone})
		}
		if m.Health.QuarantinedUntil != 0 || m.Health.Probe != nil {
			t.Errorf("runs on: %v: quarantined until %v, now %v", longRunning, m.Health.QuarantinedUntil, h.now)
		}
	}
}

// A probe that fails must delay the next one of the machine, and of its job for longer each time.
func TestFailedProbesAreDelayed(t *testing.T) {
	h := newHarness(t, Options{})
	h.runTask()
	m, j := h.c.cluster.Machine("n-1"), h.c.cluster.Job("job-1")
	m.Health.QuarantinedUntil, m.Health.QuarantinedForFailures = h.now.Add(quarantinePeriod), true
	var machineDelays, jobDelays []time.Duration
	for range 3 {
		m.Health.Probe = j.Active()[0]
		h.c.failures.recordFailure(m.Health.Probe)
		machineDelays, jobDelays = append(machineDelays, m.Health.ProbeAt.Sub(h.now)), append(jobDelays, j.Failures.ProbeAt.Sub(h.now))
	}
	if want := []time.Duration{minProbeInterval, 2 * minProbeInterval, maxProbeInterval}; !slices.Equal(machineDelays, want) {
		t.Errorf("the machine is delayed by %v, want %v", machineDelays, want)
	}
	if want := []time.Duration{minJobProbeInterval, 2 * minJobProbeInterval, 4 * minJobProbeInterval}; !slices.Equal(jobDelays, want) {
		t.Errorf("the job is delayed by %v, want %v", jobDelays, want)
	}
}
