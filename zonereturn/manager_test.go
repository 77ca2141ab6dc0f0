package zonereturn

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// bench drives a manager by hand: one zone of ten machines beside one that always serves.
type bench struct {
	t    *testing.T
	m    *Manager
	at   Moment
	revs ids.Revision
	// written are the records by zone, as the state service holds them.
	written map[ids.Zone]Record
	tasks   int
}

func testPolicy() *Policy {
	return &Policy{SuspectShare: 0.5, DarkShare: 0.8, DarkAfter: 6 * time.Second, RecoverAfter: 2 * time.Second, MinMachines: 4, HeardShare: 0.25,
		Retry: 3 * time.Minute, HoldDown: 4 * time.Second, HoldDownFactor: 3, HoldDownMax: 30 * time.Second, Quiet: 10 * time.Minute,
		ProbeTasks: 2, ProbeMaxRun: time.Minute, Steps: []float64{0.2, 0.5}, StepTime: 4 * time.Second, StepSuccesses: 3,
		FailureTolerance: 0.25, SlowStartFactor: 4, StartsPerMachine: 1, FetchesPerMachine: 0.3, ReturnMax: 45 * time.Second, MoveBudget: 1, Patience: time.Minute}
}

func newBench(t *testing.T) *bench {
	return &bench{t: t, m: NewManager(testPolicy()), written: map[ids.Zone]Record{},
		at: Moment{Now: ids.Instant(time.Hour), Wall: time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)}}
}

// pass lets time pass with so many of ten machines heard, and writes what is due.
func (b *bench) pass(d time.Duration, heard int) {
	for end := b.at.Now.Add(d); b.at.Now < end; {
		b.at = Moment{b.at.Now.Add(200 * time.Millisecond), b.at.Wall.Add(200 * time.Millisecond)}
		b.m.Observe(b.at, Observation{
			Zones: map[ids.Zone]Evidence{"z": {Known: 10, Heard: heard, Silent: 10 - heard}, "other": {Known: 10, Heard: 10}},
			View:  View{StateSure: true, PeersHeard: 2, Peers: 2},
		})
		b.write()
	}
}

// write carries out what the manager wants written.
func (b *bench) write() {
	for {
		w, ok := b.m.NextWrite(b.at, uint64(b.revs+1), func(*Record) bool { return true })
		if !ok {
			return
		}
		b.revs++
		if w.Record == nil {
			delete(b.written, w.Zone)
			b.m.Written(w.Zone, 0)
			continue
		}
		b.written[w.Zone] = *w.Record
		b.m.Written(w.Zone, b.revs)
	}
}

// start places a task of a job if the gate admits it.
func (b *bench) start(s Start) (ids.TaskRef, Denial) {
	b.tasks++
	s.Task = ids.TaskRef{Job: s.Task.Job, Index: b.tasks}
	if s.Host == "" {
		s.Host = ids.Host(fmt.Sprintf("n-%d", b.tasks))
	}
	denial := b.m.Admit("z", &s)
	if denial == Admitted {
		b.m.Started("z", &s, b.at.Now)
	}
	return s.Task, denial
}

// returning brings the zone to the beginning of its return.
func (b *bench) returning() {
	b.t.Helper()
	b.pass(time.Second, 10)
	b.pass(15*time.Second, 0)
	if c := b.m.Condition("z"); c != Dark {
		b.t.Fatalf("%s after silence", c)
	}
	b.pass(5*time.Second, 10)
	if c := b.m.Condition("z"); c != Returning {
		b.t.Fatalf("%s after the hold-down", c)
	}
}

// Each condition follows from counts of machines, with hysteresis.
func TestConditionFollowsMachines(t *testing.T) {
	for _, c := range []struct {
		name   string
		heard  []int // of ten, each for 8 s
		result Condition
	}{
		{"all are heard", []int{10, 10}, Serving},
		{"a few are silent", []int{10, 6, 6}, Serving},
		{"half are silent: suspect, never dark", []int{10, 5, 5, 5, 5}, Suspect},
		{"it hovers: still suspect", []int{10, 5, 6, 5, 6}, Suspect},
		{"most are heard again", []int{10, 5, 9}, Serving},
		{"all are silent", []int{10, 0}, Dark},
		{"one machine back is too few", []int{10, 0, 1}, Dark},
		{"a quarter is enough", []int{10, 0, 3}, Returning},
		{"silent again in the return", []int{10, 0, 10, 0}, Dark},
	} {
		b := newBench(t)
		for _, heard := range c.heard {
			b.pass(8*time.Second, heard)
		}
		if got := b.m.Condition("z"); got != c.result {
			t.Errorf("%s: %s, want %s", c.name, got, c.result)
		}
	}
}

// The probe takes a few small tasks; each step's success opens the next.
func TestRampGrowsWithSuccess(t *testing.T) {
	b := newBench(t)
	b.returning()
	small := Start{Task: ids.TaskRef{Job: "job-1"}, Small: true}
	if _, denial := b.start(Start{Task: ids.TaskRef{Job: "job-2"}}); denial != DeniedProbe {
		t.Errorf("a large task as a probe: %s", denial)
	}
	first, _ := b.start(small)
	second, _ := b.start(small)
	if _, denial := b.start(small); denial != DeniedStarts {
		t.Errorf("a third probe: %s", denial)
	}
	if _, denial := b.start(Start{Task: ids.TaskRef{Job: "job-3"}, Critical: true}); denial != Admitted {
		t.Errorf("critical work: %s", denial)
	}
	b.pass(6*time.Second, 10)
	if st := b.m.Status(b.at)[1]; st.Step != 0 {
		t.Errorf("step %d before anything succeeded", st.Step)
	}
	b.m.Running("z", first, b.at.Now)
	b.m.Running("z", second, b.at.Now)
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
	large := Start{Task: ids.TaskRef{Job: "job-2"}}
	if _, denial := b.start(large); denial != DeniedProbe {
		t.Errorf("at once: %s", denial)
	}
	b.pass(testPolicy().StepTime, 10)
	task, denial := b.start(large)
	if denial != Admitted {
		t.Fatalf("after a step's time: %s", denial)
	}
	b.m.Running("z", task, b.at.Now)
	b.pass(time.Second, 10)
	if st := b.m.Status(b.at)[1]; st.Step != 1 {
		t.Fatalf("step %d after the probe succeeded", st.Step)
	}
	z := b.m.zones["z"]
	z.displaced.jobs["job-3"] = &displacedJob{losses: 2, lastSpell: 2, returns: 1, returnedSpell: 1, lostAt: b.at.Now}
	if _, denial := b.start(Start{Task: ids.TaskRef{Job: "job-3"}, Small: true}); denial != DeniedBudget {
		t.Errorf("a job that came back before: %s", denial)
	}
	b.pass(testPolicy().StepTime+time.Second, 10)
	if st := b.m.Status(b.at)[1]; st.Step != 2 {
		t.Errorf("step %d though nothing else waits", st.Step)
	}
}

// Starts that fail, of more than one job, take a step back; those of one job do not.
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
		held, _ := b.start(Start{Task: ids.TaskRef{Job: "job-9"}, Small: true})
		for _, job := range c.failed {
			b.m.Failed("z", job)
		}
		b.pass(5*time.Second, 10)
		if st := b.m.Status(b.at)[1]; st.Step != c.want {
			t.Errorf("%s: step %d, want %d", c.name, st.Step, c.want)
		}
		b.m.Ended("z", held, b.at.Now)
	}
}

// Starts that take far longer than elsewhere take a step back.
func TestRampShrinksOnSlowStarts(t *testing.T) {
	b := newBench(t)
	other := func(n int) Start { return Start{Task: ids.TaskRef{Job: "job-0", Index: n}, Host: "h"} }
	for n := range 10 {
		s := other(n)
		b.m.Started("other", &s, b.at.Now)
	}
	b.pass(time.Second, 10)
	for n := range 10 {
		b.m.Running("other", other(n).Task, b.at.Now)
	}
	b.returning()
	b.pass(5*time.Second, 10)
	z := b.m.zones["z"]
	var tasks []ids.TaskRef
	z.policy.ProbeTasks, z.policy.ReturnMax = 6, time.Hour
	for range 6 {
		task, denial := b.start(Start{Task: ids.TaskRef{Job: "job-1"}, Small: true})
		if denial != Admitted {
			t.Fatal(denial)
		}
		tasks = append(tasks, task)
	}
	b.pass(30*time.Second, 10)
	for _, task := range tasks {
		b.m.Running("z", task, b.at.Now)
	}
	b.pass(200*time.Millisecond, 10)
	if st := b.m.Status(b.at)[1]; st.Step != 0 || z.ramp.setbacks != 1 {
		t.Errorf("step %d with %d setbacks after starts of 30 s", st.Step, z.ramp.setbacks)
	}
}

// Fetches have their own limit, shared ones count once, and none slows another down.
func TestFetchLimit(t *testing.T) {
	b := newBench(t)
	b.returning()
	b.pass(5*time.Second, 10) // the first share: 0.2 of 10 machines, 0.3 fetches each
	fetch := func(host ids.Host, image ids.Image, sharing bool) Denial {
		_, denial := b.start(Start{Task: ids.TaskRef{Job: "job-1"}, Small: true, Fetch: true, Host: host, Image: image, Sharing: sharing})
		return denial
	}
	for _, c := range []struct {
		host    ids.Host
		image   ids.Image
		sharing bool
		want    Denial
	}{
		{"n-a", "i", true, DeniedFetches},
		{"n-a", "i", false, Admitted},
		{"n-a", "i", false, Admitted},
		{"n-b", "i", false, DeniedStarts},
	} {
		if got := fetch(c.host, c.image, c.sharing); got != c.want {
			t.Errorf("%s on %s: %s, want %s", c.image, c.host, got, c.want)
		}
	}
	b.m.zones["z"].policy.StartsPerMachine = 10
	if got := fetch("n-b", "i", false); got != DeniedFetches {
		t.Errorf("a second fetch: %s", got)
	}
}

// However badly it goes, a return ends in time, and nothing waits beside the room.
func TestReturnEndsInTime(t *testing.T) {
	b := newBench(t)
	b.returning()
	for passed := time.Duration(0); b.m.Condition("z") == Returning; passed += time.Second {
		b.m.Failed("z", ids.JobID(fmt.Sprintf("job-%d", passed)))
		b.start(Start{Task: ids.TaskRef{Job: "job-1"}, Small: true})
		b.pass(time.Second, 10)
		if passed > testPolicy().ReturnMax+time.Second {
			t.Fatalf("still returning after %v", passed)
		}
	}
}

// In a window only critical work returns; afterwards the return goes on.
func TestWindowHoldsReturningWork(t *testing.T) {
	b := newBench(t)
	b.m.policy.Windows = []*Window{mustWindow(t, WindowSettings{Name: "w", TimeZone: "UTC", From: "12:00", To: "12:10"})}
	b.returning()
	if _, denial := b.start(Start{Task: ids.TaskRef{Job: "job-1"}, Small: true}); denial != DeniedWindow {
		t.Errorf("in the window: %s", denial)
	}
	if _, denial := b.start(Start{Task: ids.TaskRef{Job: "job-2"}, Critical: true}); denial != Admitted {
		t.Errorf("critical work in the window: %s", denial)
	}
	st := b.m.Status(b.at)[1]
	if want := time.Date(2026, 5, 4, 12, 10, 0, 0, time.UTC).UnixMilli(); st.UntilMS != want {
		t.Errorf("held until %v", time.UnixMilli(st.UntilMS).UTC())
	}
	b.pass(9*time.Minute+50*time.Second, 10)
	if _, denial := b.start(Start{Task: ids.TaskRef{Job: "job-1"}, Small: true}); denial != Admitted {
		t.Errorf("after the window: %s", denial)
	}
}

// The record stays inside its bound, and keeps the jobs that came back most often.
func TestRecordIsBounded(t *testing.T) {
	b := newBench(t)
	b.returning()
	z := b.m.zones["z"]
	for n := range 1000 {
		z.displaced.lose(ids.JobID(fmt.Sprintf("job-%06d", n)), b.at.Now)
	}
	z.displaced.comeBack("job-000999", 1, false)
	z.record.dirty = true
	w, ok := b.m.NextWrite(b.at, 7, func(r *Record) bool { return len(r.Jobs) <= 60 })
	if !ok || len(w.Record.Jobs) > 60 || len(w.Record.Jobs) < 20 || w.Record.Jobs[0] != "job-000999" || w.Record.Omitted != 1000-len(w.Record.Jobs) {
		t.Fatalf("%v %+v", ok, w.Record)
	}
	b.m.Refused("z")
	if again, ok := b.m.NextWrite(b.at, 8, func(*Record) bool { return true }); !ok || len(again.Record.Jobs) >= len(w.Record.Jobs) {
		t.Errorf("after a refusal: %v %d jobs", ok, len(again.Record.Jobs))
	}
}

// A quiet zone leaves nothing behind but what operators may want to know of its incidents,
// and is written no more. One without incidents leaves no record.
func TestQuietZoneKeepsOnlyItsIncidents(t *testing.T) {
	b := newBench(t)
	b.returning()
	b.m.Displaced("z", "job-1")
	b.pass(time.Minute, 10)
	if rec, ok := b.written["z"]; !ok || len(rec.Jobs) != 1 || rec.Flaps != 1 {
		t.Fatalf("while its flaps count: %+v", rec)
	}
	b.pass(testPolicy().Quiet+time.Second, 10)
	rec := b.written["z"]
	if rec.Condition != uint8(Serving) || rec.Flaps != 0 || len(rec.Jobs) != 0 || len(rec.Incidents) != 1 {
		t.Errorf("left behind: %+v", rec)
	}
	if got := rec.Incidents[0]; got.Spells != 1 || got.Tasks != 1 || got.Jobs != 1 || got.Machines != 10 || got.ServedMS <= got.BeganMS || got.DarkMS < 9000 || got.ReturnMS <= 0 {
		t.Errorf("incident %+v", got)
	}
	writes := b.revs
	b.pass(2*time.Minute, 10)
	if b.revs != writes {
		t.Errorf("%d writes about a quiet zone", b.revs-writes)
	}
	b.m.Override("other", Override{Kind: OverrideHold}, b.at)
	b.write()
	b.m.Override("other", Override{}, b.at)
	b.write()
	if rec, left := b.written["other"]; left {
		t.Errorf("left behind by a hold: %+v", rec)
	}
}

// Incidents are bounded, and the present one goes on after a succession.
func TestIncidentsAreBounded(t *testing.T) {
	var log incidentLog
	at := Moment{Wall: time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)}
	for n := range 3 * maxHistory {
		log.begin(at, n)
		log.begin(at, n)
		log.close()
	}
	if got := log.all(); len(got) != maxHistory || got[maxHistory-1].Machines != 3*maxHistory-1 || got[0].Spells != 2 {
		t.Errorf("%+v", got)
	}
	log.begin(at, 99)
	var successor incidentLog
	successor.load(log.all(), true)
	successor.begin(at, 5)
	if got := successor.all(); len(got) != maxHistory+1 || got[maxHistory].Spells != 2 || got[maxHistory].Machines != 99 {
		t.Errorf("after a succession: %+v", got)
	}
}

// Replicas are moved back one at a time, by rate and budgets, only where that makes a service
// more even and none of it is down.
func TestRestorePlan(t *testing.T) {
	at := func(s ...int) map[ids.Zone]int { return map[ids.Zone]int{"other": s[0], "z": s[1]} }
	for _, c := range []struct {
		name    string
		running map[ids.Zone]int
		room    bool
		minutes int
		moves   int
	}{
		{"uneven: as many as the budget allows", at(6, 0), true, 20, 2},
		{"by rate", at(6, 0), true, 1, 1},
		{"nearly even", at(3, 2), true, 20, 0},
		{"no room", at(6, 0), false, 20, 0},
		{"a replica is down", at(5, 0), true, 20, 0},
	} {
		b := newBench(t)
		b.m.policy.Quiet = time.Hour
		b.m.policy.Restore = RestorePolicy{MovesPerMinute: 0.5, After: time.Minute, Budget: 2}
		b.m.restorer = newRestorer(b.m.policy.Restore)
		b.returning()
		b.m.Displaced("z", "job-1")
		b.pass(90*time.Second, 10)
		wanted := 6
		if c.name == "nearly even" {
			wanted = 5
		}
		moves := 0
		for range c.minutes * 60 {
			b.at = Moment{b.at.Now.Add(time.Second), b.at.Wall.Add(time.Second)}
			if len(b.m.RestoreCandidates(b.at.Now)) != 1 {
				t.Fatalf("%s: no candidate", c.name)
			}
			services := []ServicePlacement{{Job: "job-1", Running: c.running, Wanted: wanted}}
			if move, ok := b.m.PlanRestore(b.at, services, func(ids.JobID, ids.Zone) bool { return c.room }); ok {
				moves++
				if move.From != "other" || move.To != "z" {
					t.Errorf("%s: %+v", c.name, move)
				}
				c.running["other"]--
				c.running["z"]++
			}
		}
		if moves != c.moves {
			t.Errorf("%s: %d moves, want %d", c.name, moves, c.moves)
		}
	}
}

// A record that cannot be read is not taken for absent: the zone must show that it is there.
func TestUnreadableRecordClosesTheZone(t *testing.T) {
	b := newBench(t)
	b.m.LoadUnreadable("z", 9, b.at)
	if _, denial := b.start(Start{Task: ids.TaskRef{Job: "job-1"}, Critical: true}); denial != DeniedDark {
		t.Errorf("%s", denial)
	}
	b.pass(6*time.Second, 10)
	if c := b.m.Condition("z"); c != Returning {
		t.Errorf("%s once its machines are heard", c)
	}
}

// A successor that reads the record allows no more than the leader that wrote it, whatever
// the step, and forgets neither flaps nor who came back.
func TestRecordRoundTrip(t *testing.T) {
	b := newBench(t)
	b.returning()
	b.m.zones["z"].displaced.lose("job-1", b.at.Now)
	b.m.zones["z"].displaced.comeBack("job-1", 1, false)
	b.m.Override("z", Override{Kind: OverrideHold, Reason: "works", UntilMS: b.at.Wall.Add(time.Hour).UnixMilli()}, b.at)
	b.pass(10*time.Second, 10)
	old, rec := b.m.zones["z"], b.written["z"]
	successor := NewManager(testPolicy())
	later := Moment{Now: ids.Instant(7 * time.Hour), Wall: b.at.Wall.Add(3 * time.Second)}
	successor.Load("z", &rec, 5, later)
	z := successor.zones["z"]
	if z.condition != old.condition || z.flaps != old.flaps || z.ramp.step > old.ramp.step || z.override != old.override || z.displaced.spell != old.displaced.spell {
		t.Errorf("%+v\nwas %+v", z, old)
	}
	want := *old.displaced.jobs["job-1"]
	want.lostAt = later.Now // its patience counts anew
	if got := *z.displaced.jobs["job-1"]; got != want {
		t.Errorf("%+v, was %+v", got, want)
	}
	if gone := later.Now.Sub(z.ramp.began) - b.at.Now.Sub(old.ramp.began) - 3*time.Second; gone < -time.Millisecond || gone > time.Millisecond {
		t.Errorf("the return's beginning moved by %v", gone)
	}
}

// Where all zones are half silent at once, as after a controller failed, none is suspect.
func TestTroubleEverywhereIsNoZonesTrouble(t *testing.T) {
	b := newBench(t)
	b.pass(time.Second, 10)
	for _, c := range []struct {
		others int // heard of ten elsewhere
		want   Condition
	}{{5, Serving}, {10, Suspect}} {
		for range 20 {
			b.at = Moment{b.at.Now.Add(200 * time.Millisecond), b.at.Wall.Add(200 * time.Millisecond)}
			b.m.Observe(b.at, Observation{View: View{StateSure: true}, Zones: map[ids.Zone]Evidence{
				"z": {Known: 10, Heard: 5, Silent: 5}, "other": {Known: 10, Heard: c.others, Silent: 10 - c.others}}})
		}
		if got := b.m.Condition("z"); got != c.want {
			t.Errorf("%s while %d of ten are heard elsewhere, want %s", got, c.others, c.want)
		}
	}
}

// With its full share the zone goes on returning while work is turned away: all of it would
// come in one rush otherwise.
func TestLastStepWaitsForTheBacklog(t *testing.T) {
	b := newBench(t)
	b.m.policy.ReturnMax = time.Hour
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
			if task, denial = b.start(Start{Task: ids.TaskRef{Job: "job-1"}}); denial == Admitted {
				running = append(running, task)
			}
		}
		for _, task := range running {
			b.m.Running("z", task, b.at.Now)
		}
		b.pass(3*time.Second, 10) // less than a step, so that work waits in each
		if c := b.m.Condition("z"); c != Returning {
			t.Fatalf("%s although work was turned away", c)
		}
	}
	b.pass(10*time.Second, 10)
	if c := b.m.Condition("z"); c != Serving {
		t.Errorf("%s once nothing waits", c)
	}
}

// A further step counts only once it is recorded; a step back counts at once.
func TestStepCountsOnceRecorded(t *testing.T) {
	b := newBench(t)
	b.returning()
	z := b.m.zones["z"]
	z.enterStep(2, b.at.Now, "")
	admitted := func() (n int) {
		for _, denial := b.start(Start{Task: ids.TaskRef{Job: "job-1"}, Small: true}); denial == Admitted; _, denial = b.start(Start{Task: ids.TaskRef{Job: "job-1"}, Small: true}) {
			n++
		}
		return n
	}
	if n := admitted(); n != testPolicy().ProbeTasks {
		t.Errorf("%d starts by a step that is not recorded", n)
	}
	b.write()
	if n := admitted(); n != 5-testPolicy().ProbeTasks {
		t.Errorf("%d more starts once it is", n)
	}
	z.enterStep(1, b.at.Now, "")
	if n := admitted(); n != 0 {
		t.Errorf("%d starts after a step back", n)
	}
}

// After a pause of the leader's process no silence counts until what came meanwhile is read.
func TestPausedLeaderSuspectsNobody(t *testing.T) {
	b := newBench(t)
	b.pass(time.Second, 10)
	for _, resumed := range []bool{true, false} {
		b.at.Now = b.at.Now.Add(20 * time.Second)
		b.m.Observe(b.at, Observation{View: View{StateSure: true, ProcessResumed: resumed}, Zones: map[ids.Zone]Evidence{
			"z": {Known: 10, Silent: 10}, "other": {Known: 10, Heard: 10}}})
		if got, want := b.m.Condition("z"), map[bool]Condition{true: Serving, false: Suspect}[resumed]; got != want {
			t.Errorf("resumed %v: %s", resumed, got)
		}
	}
}
