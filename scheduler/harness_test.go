package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// harness calls a core directly, without a simulation around it. Its machines have booted.
type harness struct {
	t        testing.TB
	c        *Core
	now      monotonic.Instant
	sequence ids.Sequence
	// zoneWrites is the number of zone records that were written.
	zoneWrites int
}

// newHarness returns a harness whose core has one team and one machine type, unless others are
// given.
func newHarness(t testing.TB, opt Options, types ...wire.MachineType) *harness {
	t.Helper()
	if opt.Teams == nil {
		opt.Teams = []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 64}, Limit: quota.Amount{CPUs: 64}, LendingLimit: quota.Amount{CPUs: 64}}}
	}
	if opt.Revision == 0 {
		opt.Revision = 5
	}
	opt.HeartbeatInterval, opt.AgentLease, opt.CancelDeadline = simHeartbeatInterval, simAgentLease, simCancelDeadline
	opt.MaxTxnOps, opt.SliceTasks, opt.MaxSkippedJobs, opt.BootFactor, opt.MaxMachines = 8, 4, 100, 4, 100
	opt.IdleTimeout, opt.HeadroomIdleTimeout = time.Hour, time.Hour
	if opt.PreviousLeaderGraceWithoutReplicas == 0 {
		opt.PreviousLeaderGraceWithoutReplicas = opt.PreviousLeaderGrace
	}
	if types == nil {
		types = []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, CacheGB: 50, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: []ids.Zone{"a", "b"}}}
	}
	return &harness{t: t, c: New(opt, types), now: monotonic.Instant(time.Hour)}
}

// submit has the core observe a new job. Team and CPUs have defaults.
func (h *harness) submit(id ids.JobID, spec wire.JobSpec) {
	if spec.CPUs == 0 {
		spec.CPUs = 2
	}
	if spec.Team == "" {
		spec.Team = "red"
	}
	spec.Image = "i"
	h.c.ObserveJob(h.now, id, &records.Job{Status: wire.JobQueued, Tasks: spec.Tasks, Spec: &spec, SubmittedMS: int64(len(h.c.cluster.Jobs()))}, ids.Revision(100+len(h.c.cluster.Jobs())))
}

// inherit loads job-1 and the admission record that a previous leader wrote for it.
func (h *harness) inherit(spec wire.JobSpec, rec records.AdmissionSlice) {
	h.t.Helper()
	spec.Class, spec.Team, spec.CPUs, spec.Image = "c", "red", 2, "i"
	h.c.LoadJob("job-1", &records.Job{Status: wire.JobQueued, Tasks: spec.Tasks, Spec: &spec}, 3)
	if err := h.c.LoadSlice("job-1", 0, &rec, 4); err != nil {
		h.t.Fatal(err)
	}
}

// randomTeams returns three teams. lend draws the fraction of its nominal quota that a team lends.
func randomTeams(rng *rand.Rand, lend func() float64) []quota.Team {
	var teams []quota.Team
	for n := range 3 {
		nominal := float64(4 * rng.IntN(6))
		teams = append(teams, quota.Team{Name: ids.Team(fmt.Sprintf("t%d", n)), Nominal: quota.Amount{CPUs: nominal},
			Limit: quota.Amount{CPUs: nominal + float64(4*rng.IntN(8))}, LendingLimit: quota.Amount{CPUs: nominal * lend()}})
	}
	return teams
}

// randomMachines has new machines in random zones send their first heartbeats.
func (h *harness) randomMachines(rng *rand.Rand, count int) {
	for n := range count {
		h.heartbeat(ids.MachineID(fmt.Sprintf("n-%d", n)), []ids.Zone{"a", "b", "c"}[rng.IntN(3)], 0)
	}
}

// heartbeat sends a heartbeat of a machine and returns the response.
func (h *harness) heartbeat(machine ids.MachineID, zone ids.Zone, token ids.FencingToken, tasks ...wire.TaskStatus) wire.HeartbeatResponse {
	h.sequence++
	response, ok := h.c.Heartbeat(h.now, &wire.Heartbeat{Machine: machine, Endpoint: string(machine), Type: "m", Zone: zone, Incarnation: 1, Sequence: h.sequence,
		FencingToken: token, Tasks: tasks})
	if !ok {
		h.t.Fatalf("the heartbeat of %s got no response", machine)
	}
	return response
}

// runTask begins the term, submits job-1 and has its only task run on n-1. It returns the fencing
// token in the last response to n-1 before the task ran, and the status of the task.
func (h *harness) runTask() (ids.FencingToken, wire.TaskStatus) {
	h.t.Helper()
	h.c.Begin(h.now)
	response := h.heartbeat("n-1", "a", 0)
	h.submit("job-1", wire.JobSpec{Tasks: 1})
	h.step()
	response = h.heartbeat("n-1", "a", response.FencingToken)
	running := wire.TaskStatus{Name: "job-1/0", Attempt: 1, State: wire.TaskRunning}
	h.heartbeat("n-1", "a", response.FencingToken, running)
	return response.FencingToken, running
}

// step runs one step of the core and immediately commits the record changes that it decides.
func (h *harness) step() Decisions {
	h.c.ObserveLease(h.now)
	decisions := h.c.Step(h.now)
	for _, change := range decisions.RecordChanges {
		h.c.CommitResult(h.now, records.CommitResult{Change: change, Revision: ids.Revision(1000 + change.ID)})
	}
	return decisions
}

// commandsWith lists the commands with a verb, as TASK#ATTEMPT.
func commandsWith(commands []wire.Command, verb wire.Verb) []string {
	var out []string
	for _, command := range commands {
		if command.Verb == verb {
			out = append(out, fmt.Sprintf("%s#%d", command.Name, command.Attempt))
		}
	}
	return out
}
