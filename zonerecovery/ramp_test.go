package zonerecovery

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// The probe takes a few small tasks; each step's success opens the next.
func TestRampGrowsWithSuccess(t *testing.T) {
	b := newBench(t)
	b.returning()
	small := StartRequest{Task: ids.TaskRef{Job: "job-1"}, ProbeEligible: true}
	if _, denial := b.start(StartRequest{Task: ids.TaskRef{Job: "job-2"}}); denial != DeniedProbeOnly {
		t.Errorf("a large task as a probe: %s", denial)
	}
	first, _ := b.start(small)
	second, _ := b.start(small)
	if _, denial := b.start(small); denial != DeniedStartLimit {
		t.Errorf("a third probe: %s", denial)
	}
	if _, denial := b.start(StartRequest{Task: ids.TaskRef{Job: "job-3"}, Critical: true}); denial != Admitted {
		t.Errorf("critical work: %s", denial)
	}
	b.pass(6*time.Second, 10)
	if st := b.m.Status(b.at)[1]; st.Step != 0 {
		t.Errorf("step %d before anything succeeded", st.Step)
	}
	b.m.TaskRunning("z", first, b.at.Now)
	b.m.TaskRunning("z", second, b.at.Now)
	b.pass(time.Second, 10)
	if st := b.m.Status(b.at)[1]; st.Step != 1 || b.written["z"].Step != 1 {
		t.Errorf("step %d, %d recorded, after the probes succeeded", st.Step, b.written["z"].Step)
	}
}

// Where no small task comes, any may prove the zone after a step's time; and a job that its
// earlier moves keep away holds no step up.
func TestProbeWithoutSmallTasks(t *testing.T) {
	b := newBench(t)
	b.returning()
	large := StartRequest{Task: ids.TaskRef{Job: "job-2"}}
	if _, denial := b.start(large); denial != DeniedProbeOnly {
		t.Errorf("at once: %s", denial)
	}
	b.pass(testPolicy().MinStepTime, 10)
	task, denial := b.start(large)
	if denial != Admitted {
		t.Fatalf("after a step's time: %s", denial)
	}
	b.m.TaskRunning("z", task, b.at.Now)
	b.pass(time.Second, 10)
	if st := b.m.Status(b.at)[1]; st.Step != 1 {
		t.Fatalf("step %d after the probe succeeded", st.Step)
	}
	z := b.m.zones["z"]
	z.displacements.jobs["job-3"] = &displacedJob{losses: 2, lastLoss: 2, failbacks: 1, lastFailback: 1, lostAt: b.at.Now}
	if _, denial := b.start(StartRequest{Task: ids.TaskRef{Job: "job-3"}, ProbeEligible: true}); denial != DeniedFailbackBudget {
		t.Errorf("a job that came back before: %s", denial)
	}
	b.pass(testPolicy().MinStepTime+time.Second, 10)
	if st := b.m.Status(b.at)[1]; st.Step != 2 {
		t.Errorf("step %d though nothing else waits", st.Step)
	}
}

// StartsInFlight that fail, of more than one job, take a step back; those of one job do not.
func TestRampShrinksOnTrouble(t *testing.T) {
	for _, c := range []struct {
		name   string
		failed []ids.JobID
		want   int
	}{
		{"one job fails", []ids.JobID{"job-1", "job-1", "job-1"}, 1},
		{"two jobs fail", []ids.JobID{"job-1", "job-2", "job-2"}, 0},
	} {
		b := newBench(t)
		b.returning()
		b.pass(5*time.Second, 10) // nothing to prove: on to the first share
		if st := b.m.Status(b.at)[1]; st.Step != 1 {
			t.Fatalf("step %d without any work", st.Step)
		}
		held, _ := b.start(StartRequest{Task: ids.TaskRef{Job: "job-9"}, ProbeEligible: true})
		for _, job := range c.failed {
			b.m.TaskFailed("z", job)
		}
		b.pass(5*time.Second, 10)
		if st := b.m.Status(b.at)[1]; st.Step != c.want {
			t.Errorf("%s: step %d, want %d", c.name, st.Step, c.want)
		}
		b.m.TaskEnded("z", held)
	}
}

// StartsInFlight that take far longer than elsewhere take a step back.
func TestRampShrinksOnSlowStarts(t *testing.T) {
	b := newBench(t)
	other := func(n int) StartRequest { return StartRequest{Task: ids.TaskRef{Job: "job-0", Index: n}, Machine: "h"} }
	for n := range 10 {
		s := other(n)
		b.m.TaskStarted("other", &s, b.at.Now)
	}
	b.pass(time.Second, 10)
	for n := range 10 {
		b.m.TaskRunning("other", other(n).Task, b.at.Now)
	}
	b.returning()
	b.pass(5*time.Second, 10)
	z := b.m.zones["z"]
	var tasks []ids.TaskRef
	z.policy.ProbeTasks, z.policy.MaxRecovery = 6, time.Hour
	for range 6 {
		task, denial := b.start(StartRequest{Task: ids.TaskRef{Job: "job-1"}, ProbeEligible: true})
		if denial != Admitted {
			t.Fatal(denial)
		}
		tasks = append(tasks, task)
	}
	b.pass(30*time.Second, 10)
	for _, task := range tasks {
		b.m.TaskRunning("z", task, b.at.Now)
	}
	b.pass(200*time.Millisecond, 10)
	if st := b.m.Status(b.at)[1]; st.Step != 0 || z.machine.incidents.present.Setbacks != 1 {
		t.Errorf("step %d with %d setbacks after starts of 30 s", st.Step, z.machine.incidents.present.Setbacks)
	}
}

// FetchesInFlight have their own limit, shared ones count once, and none slows another down.
func TestFetchLimit(t *testing.T) {
	b := newBench(t)
	b.returning()
	b.pass(5*time.Second, 10) // the first share: 0.2 of 10 machines, 0.3 fetches each
	fetch := func(host ids.MachineID, image ids.Image, sharing bool) Admission {
		_, denial := b.start(StartRequest{Task: ids.TaskRef{Job: "job-1"}, ProbeEligible: true, NeedsFetch: true, Machine: host, Image: image, MachineFetching: sharing})
		return denial
	}
	for _, c := range []struct {
		host    ids.MachineID
		image   ids.Image
		sharing bool
		want    Admission
	}{
		{"n-a", "i", true, DeniedFetchLimit},
		{"n-a", "i", false, Admitted},
		{"n-a", "i", false, Admitted},
		{"n-b", "i", false, DeniedStartLimit},
	} {
		if got := fetch(c.host, c.image, c.sharing); got != c.want {
			t.Errorf("%s on %s: %s, want %s", c.image, c.host, got, c.want)
		}
	}
	b.m.zones["z"].policy.StartsPerMachine = 10
	if got := fetch("n-b", "i", false); got != DeniedFetchLimit {
		t.Errorf("a second fetch: %s", got)
	}
}

// However badly it goes, a return ends in time, and nothing waits beside the room.
func TestReturnEndsInTime(t *testing.T) {
	b := newBench(t)
	b.returning()
	for passed := time.Duration(0); b.m.Condition("z") == Recovering; passed += time.Second {
		b.m.TaskFailed("z", ids.JobID(fmt.Sprintf("job-%d", passed)))
		b.start(StartRequest{Task: ids.TaskRef{Job: "job-1"}, ProbeEligible: true})
		b.pass(time.Second, 10)
		if passed > testPolicy().MaxRecovery+time.Second {
			t.Fatalf("still returning after %v", passed)
		}
	}
}

// In a window only critical work returns; afterwards the return goes on.
func TestWindowHoldsReturningWork(t *testing.T) {
	b := newBench(t)
	b.m.policy.Windows = []*Window{mustWindow(t, WindowSettings{Name: "w", TimeZone: "UTC", From: "12:00", To: "12:10"})}
	b.returning()
	if _, denial := b.start(StartRequest{Task: ids.TaskRef{Job: "job-1"}, ProbeEligible: true}); denial != DeniedWindow {
		t.Errorf("in the window: %s", denial)
	}
	if _, denial := b.start(StartRequest{Task: ids.TaskRef{Job: "job-2"}, Critical: true}); denial != Admitted {
		t.Errorf("critical work in the window: %s", denial)
	}
	st := b.m.Status(b.at)[1]
	if want := time.Date(2026, 5, 4, 12, 10, 0, 0, time.UTC).UnixMilli(); st.RestrictedUntilMS != want {
		t.Errorf("held until %v", time.UnixMilli(st.RestrictedUntilMS).UTC())
	}
	b.pass(9*time.Minute+50*time.Second, 10)
	if _, denial := b.start(StartRequest{Task: ids.TaskRef{Job: "job-1"}, ProbeEligible: true}); denial != Admitted {
		t.Errorf("after the window: %s", denial)
	}
}

// With its full share the zone goes on returning while work is turned away: all of it would
// come in one rush otherwise.
func TestLastStepWaitsForTheBacklog(t *testing.T) {
	b := newBench(t)
	b.m.policy.MaxRecovery = time.Hour
	b.returning()
	b.pass(3*5*time.Second, 10) // nothing to prove: on to the full share
	if st := b.m.Status(b.at)[1]; st.Step != 3 {
		t.Fatalf("step %d", st.Step)
	}
	for range 5 {
		var running []ids.TaskRef
		denial := Admitted
		for denial == Admitted {
			var task ids.TaskRef
			if task, denial = b.start(StartRequest{Task: ids.TaskRef{Job: "job-1"}}); denial == Admitted {
				running = append(running, task)
			}
		}
		for _, task := range running {
			b.m.TaskRunning("z", task, b.at.Now)
		}
		b.pass(3*time.Second, 10) // less than a step, so that work waits in each
		if c := b.m.Condition("z"); c != Recovering {
			t.Fatalf("%s although work was turned away", c)
		}
	}
	b.pass(10*time.Second, 10)
	if c := b.m.Condition("z"); c != Serving {
		t.Errorf("%s once nothing waits", c)
	}
}
