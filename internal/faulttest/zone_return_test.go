package faulttest

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// repository is the root of this repository.
const repository = "../.."

// waitLimit is how long anything may take; it bounds a hanging test, and no result depends
// on it.
const waitLimit = 90 * time.Second

// buildProgram builds the program, and reads from deploy/service.toml how it is started.
func buildProgram(t *testing.T) Program {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(repository, "deploy/service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var service struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(raw, &service); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "ospreystile")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "./cmd/ospreystile")
	build.Dir = repository
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return Program{Path: path, Args: strings.Fields(service.Run)[1:], Dir: repository}
}

// withOperator has the program started with an operators' file, in place of the one that it
// may be started with.
func (p Program) withOperator(file string) Program {
	args := slices.Clone(p.Args)
	if at := slices.Index(args, "--operator"); at >= 0 {
		args = slices.Delete(args, at, at+2)
	}
	p.Args = append([]string{"--operator", file}, args...)
	return p
}

// zoneDrill is one test's deployment.
type zoneDrill struct {
	*World
	t       *testing.T
	ctx     context.Context
	program Program
}

func newZoneDrill(t *testing.T, operator string, zones []ids.Zone, capacity int) *zoneDrill {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	d := &zoneDrill{t: t, ctx: t.Context(), program: buildProgram(t).withOperator(operator)}
	var err error
	if d.World, err = NewWorld(t.TempDir(), zones, capacity, 3); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		d.Close()
		if t.Failed() {
			t.Log(d.Logs())
		}
	})
	for _, n := range d.Nodes {
		d.must(d.Start(n, d.program))
	}
	return d
}

func (d *zoneDrill) must(err error) {
	if err != nil {
		d.t.Helper()
		d.t.Fatal(err)
	}
}

// await polls until something holds.
func (d *zoneDrill) await(what string, holds func() bool) {
	d.t.Helper()
	for end := time.Now().Add(waitLimit); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("not within %v: %s", waitLimit, what)
		}
	}
}

// command runs a subcommand of the program against a controller's settings.
func (d *zoneDrill) command(n *Node, args ...string) (string, error) {
	out, err := exec.CommandContext(d.ctx, d.program.Path, append(args, "--config", n.settings)...).CombinedOutput()
	return string(out), err
}

// zones asks for the conditions of all zones, as an operator does.
func (d *zoneDrill) zones() (answer peerapi.ZonesResponse, ok bool) {
	out, err := d.command(d.Nodes[0], "zones", "--json")
	return answer, err == nil && json.Unmarshal([]byte(out), &answer) == nil
}

// zone is one zone's condition.
func (d *zoneDrill) zone(name ids.Zone) (st zonerecovery.Status, leader ids.ControllerName, ok bool) {
	answer, ok := d.zones()
	for _, z := range answer.Zones {
		if z.Zone == name {
			return z, answer.Leader, ok
		}
	}
	return st, answer.Leader, false
}

// awaitCondition waits for a zone's condition.
func (d *zoneDrill) awaitCondition(name ids.Zone, want zonerecovery.Condition) {
	d.t.Helper()
	d.await(string(name)+" "+want.String(), func() bool {
		st, _, ok := d.zone(name)
		return ok && st.Condition == want
	})
}

// runs counts the tasks of a job that run, in all zones but one.
func (d *zoneDrill) runs(job ids.JobID, but ids.Zone) int {
	n := 0
	for zone, count := range d.History.RunningOf(job) {
		if zone != but {
			n += count
		}
	}
	return n
}

// The built program, started as deploy/service.toml says with deploy/zone-return.json
// beside it, loses a zone and takes it back: services run elsewhere before the zone
// returns, the return stays under its ramp, a leader that is killed in the middle of it
// changes nothing of that, and each job reaches exactly one final answer.
func TestZoneGoesDarkAndReturns(t *testing.T) {
	const dark = ids.Zone("wroclaw")
	d := newZoneDrill(t, "deploy/zone-return.json", []ids.Zone{"gdansk", "krakow", dark}, 6)
	query := Job{ID: "job-000001", Team: "archive", Class: "query", Service: true, Priority: "high", Tasks: 9, CPUs: 2, Image: "query"}
	rebuild := Job{ID: "job-000002", Team: "archive", Class: "homogenise", Priority: "normal", Tasks: 90, CPUs: 2, Image: "homogenise", Run: 9 * time.Second}
	d.must(d.Submit(d.ctx, query))
	d.await("all replicas run", func() bool { return d.runs(query.ID, "") == query.Tasks })
	d.must(d.Submit(d.ctx, rebuild))
	d.await("the array runs in the zone", func() bool { return d.History.RunningOf(rebuild.ID)[dark] >= 15 })

	d.Cut(dark, true)
	d.awaitCondition(dark, zonerecovery.Outage)
	d.await("all replicas run elsewhere", func() bool { return d.runs(query.ID, dark) == query.Tasks })
	reprocess := Job{ID: "job-000003", Team: "maps", Class: "reprocess", Priority: "normal", Tasks: 200, CPUs: 2, Image: "reprocess", Run: 2 * time.Second}
	d.must(d.Submit(d.ctx, reprocess))
	d.Cut(dark, false)
	d.watchReturn(dark, query.ID)

	for _, job := range []Job{rebuild, reprocess} {
		d.awaitAtAllNodes(job.ID, wire.JobDone)
	}
	answer, err := d.Cancel(d.ctx, query.ID)
	d.must(err)
	if answer.Status != wire.JobCancelled {
		t.Errorf("the service is %s", answer.Status)
	}
	d.awaitAtAllNodes(query.ID, wire.JobCancelled)
	d.await("the service's tasks are gone", func() bool { return d.runs(query.ID, "") == 0 })
	if broken := d.History.Violations(); len(broken) > 0 {
		t.Errorf("rules broken: %v", broken)
	}
	t.Logf("%d tasks were run again after they completed", d.History.Repeated())
	d.operatorsDecide(dark)
}

// quickSettings has zones judged, and come back, within seconds.
const quickSettings = `{"zone_return": {"enabled": true, "dark_after_s": 1, "recover_s": 0.5, "hold_down_s": 1, "hold_down_factor": 2, "hold_down_max_s": 4,
	"steps": [0.3], "step_s": 0.5, "return_max_s": 6, "hold_limit_s": 12, "patience_s": 10, "quiet_s": 600}}`

// A zone flaps while the state service is away: nothing starts there that is not recorded,
// and once the service is back the zone returns, and all work is done once.
func TestZoneFlapsWithoutTheStateService(t *testing.T) {
	const dark = ids.Zone("wroclaw")
	operator := filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(operator, []byte(quickSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	d := newZoneDrill(t, operator, []ids.Zone{"gdansk", "krakow", dark}, 4)
	rebuild := Job{ID: "job-000001", Team: "maps", Class: "rebuild", Priority: "normal", Tasks: 150, CPUs: 2, Image: "rebuild", Run: 3 * time.Second}
	d.must(d.Submit(d.ctx, rebuild))
	d.await("the array runs in the zone", func() bool { return d.History.RunningOf(rebuild.ID)[dark] >= 10 })
	d.Cut(dark, true)
	d.awaitCondition(dark, zonerecovery.Outage)
	d.await("its leases are over", func() bool { return d.History.RunningOf(rebuild.ID)[dark] == 0 })
	d.State.StartOutage()
	time.Sleep(2 * d.Report) // what was recorded before may still be sent
	since := time.Now()
	for range 2 {
		d.Cut(dark, false)
		d.awaitCondition(dark, zonerecovery.Recovering)
		time.Sleep(4 * time.Second) // eight steps' time, in which nothing can be proved
		if st, _, ok := d.zone(dark); ok && (st.Condition != zonerecovery.Recovering || st.Step != 0) {
			t.Errorf("%s at step %d although nothing was proved", st.Condition, st.Step)
		}
		d.Cut(dark, true)
		d.awaitCondition(dark, zonerecovery.Suspect) // without the state service there is no verdict
	}
	d.Cut(dark, false)
	d.awaitCondition(dark, zonerecovery.Recovering)
	if sent := d.History.Sends(rebuild.ID, dark, since); sent > 0 {
		t.Errorf("%d tasks were sent to the zone although nothing could be recorded", sent)
	}
	d.State.EndOutage()
	d.awaitCondition(dark, zonerecovery.Serving)
	d.awaitAtAllNodes(rebuild.ID, wire.JobDone)
	if st, _, ok := d.zone(dark); !ok || st.Flaps != 1 {
		t.Errorf("%d flaps counted: %+v", st.Flaps, st)
	}
	if broken := d.History.Violations(); len(broken) > 0 {
		t.Errorf("rules broken: %v", broken)
	}
	t.Logf("%d tasks were run again after they completed", d.History.Repeated())
}

// watchReturn follows a zone's return to its end, kills the leader in the middle, and
// compares the starts under way on the machines with what the ramp allowed so far.
func (d *zoneDrill) watchReturn(zone ids.Zone, critical ids.JobID) {
	d.t.Helper()
	d.awaitCondition(zone, zonerecovery.Recovering)
	began, killed, most, flaps := time.Now(), false, 0, 0
	notCritical := func(job ids.JobID) bool { return job != critical }
	for end := time.Now().Add(waitLimit); ; time.Sleep(20 * time.Millisecond) {
		st, leader, ok := d.zone(zone)
		if ok && st.Condition == zonerecovery.Serving {
			if flaps == 0 || st.Flaps != flaps {
				d.t.Errorf("%d flaps before the leader was killed, %d after the return", flaps, st.Flaps)
			}
			return
		}
		if ok {
			most = max(most, st.StartLimit)
		}
		if underWay := d.History.UnderWay(zone, began, notCritical); underWay > most {
			d.t.Errorf("%d starts under way in %s, at most %d allowed", underWay, zone, most)
		}
		if ok && !killed && st.Step >= 1 {
			killed, flaps = true, st.Flaps
			d.replaceController(leader)
		}
		if time.Now().After(end) {
			d.t.Fatalf("%s is still %s", zone, st.Condition)
		}
	}
}

// replaceController kills a controller and starts it again.
func (d *zoneDrill) replaceController(name ids.ControllerName) {
	d.t.Helper()
	for _, n := range d.Nodes {
		if ids.ControllerName(n.Name) == name {
			n.Kill()
			d.must(d.Start(n, d.program))
		}
	}
}

// awaitAtAllNodes waits until every controller gives the same final answer.
func (d *zoneDrill) awaitAtAllNodes(id ids.JobID, want wire.JobState) {
	d.t.Helper()
	for n := range d.Nodes {
		d.await(string(id)+" "+string(want), func() bool {
			status, err := d.StatusAt(d.ctx, n, id)
			if err == nil && status.Status != want && (status.Status == wire.JobDone || status.Status == wire.JobCancelled) {
				d.t.Fatalf("%s is %s", id, status.Status)
			}
			return err == nil && status.Status == want
		})
	}
}

// operatorsDecide holds a zone back and releases it by the program's subcommands.
func (d *zoneDrill) operatorsDecide(zone ids.Zone) {
	d.t.Helper()
	out, err := d.command(d.Nodes[1], "zone", "hold", string(zone), "--reason", "power works", "--for", "1h")
	if err != nil || !strings.Contains(out, "power works") {
		d.t.Errorf("hold: %v: %s", err, out)
	}
	if st, _, ok := d.zone(zone); !ok || st.Override != zonerecovery.OverrideHold || st.UntilMS == 0 {
		d.t.Errorf("after the hold: %+v", st)
	}
	if out, err = d.command(d.Nodes[2], "zone", "release", string(zone)); err != nil {
		d.t.Errorf("release: %v: %s", err, out)
	}
	if st, _, ok := d.zone(zone); !ok || st.Override != zonerecovery.OverrideNone || st.Condition != zonerecovery.Serving {
		d.t.Errorf("after the release: %+v", st)
	}
	if out, err = d.command(d.Nodes[0], "zone", "incidents"); err != nil || strings.Count(out, string(zone)) != 1 {
		d.t.Errorf("incidents: %v: %s", err, out)
	}
	if out, err = d.command(d.Nodes[0], "zone", "hold", "poznan"); err == nil || strings.Count(out, "\n") != 1 || !strings.Contains(out, "unknown zone") {
		d.t.Errorf("an unknown zone: %v: %q", err, out)
	}
}

// The history's checker finds a task that runs twice, and one that is started again.
func TestHistoryFindsPlantedFaults(t *testing.T) {
	task := ids.TaskRef{Job: "job-1"}
	act := func(kind ActKind, host ids.MachineID, attempt ids.Attempt) Act {
		return Act{Task: task, Attempt: attempt, Host: host, Zone: "a", Kind: kind}
	}
	for name, c := range map[string]struct {
		acts                 []Act
		violations, repeated int
	}{
		"moved once gone":       {[]Act{act(Fetching, "n-1", 1), act(Running, "n-1", 1), act(Gone, "n-1", 1), act(Fetching, "n-2", 2), act(Running, "n-2", 2)}, 0, 0},
		"runs twice":            {[]Act{act(Fetching, "n-1", 1), act(Running, "n-1", 1), act(Fetching, "n-2", 2), act(Running, "n-2", 2)}, 1, 0},
		"again though complete": {[]Act{act(Fetching, "n-1", 1), act(Running, "n-1", 1), act(Completed, "n-1", 1), act(Fetching, "n-2", 2)}, 0, 1},
	} {
		h := NewHistory()
		for _, a := range c.acts {
			h.Add(a)
		}
		if got := len(h.Violations()); got != c.violations || h.Repeated() != c.repeated {
			t.Errorf("%s: %d violations, %d repeated", name, got, h.Repeated())
		}
	}
}
