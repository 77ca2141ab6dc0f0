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

const (
	// repositoryRoot is the path of the repository's root from this package.
	repositoryRoot = "../.."
	// waitTimeout ends a test that hangs. No test result depends on its value.
	waitTimeout = 90 * time.Second
	// pollInterval is the interval between two checks of a condition that a test waits for.
	pollInterval = 50 * time.Millisecond
	// recoveryPollInterval is the poll interval during a recovery. It is shorter because the start limit
	// changes quickly during the ramp-up.
	recoveryPollInterval = 20 * time.Millisecond
	// controllerCount is the number of controllers in each test.
	controllerCount = 3
)

// buildProgram builds the program and reads its start command from deploy/service.toml.
func buildProgram(t testing.TB) Program {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(repositoryRoot, "deploy/service.toml"))
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
	build.Dir = repositoryRoot
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return Program{Path: path, Arguments: strings.Fields(service.Run)[1:], Directory: repositoryRoot}
}

// withOperatorSettings returns the program with the given file as its operator settings.
func (p Program) withOperatorSettings(file string) Program {
	arguments := slices.Clone(p.Arguments)
	if i := slices.Index(arguments, "--operator"); i >= 0 {
		arguments = slices.Delete(arguments, i, i+2)
	}
	p.Arguments = append([]string{"--operator", file}, arguments...)
	return p
}

// zoneTest holds the deployment of one test.
type zoneTest struct {
	*Deployment
	t       *testing.T
	ctx     context.Context
	program Program
}

// newZoneTest starts a deployment that is closed at the end of the test. If the test fails, the
// controllers' logs are added to its output.
func newZoneTest(t *testing.T, operatorSettings string, zones []ids.Zone, capacity int) *zoneTest {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	z := &zoneTest{t: t, ctx: t.Context(), program: buildProgram(t).withOperatorSettings(operatorSettings)}
	var err error
	if z.Deployment, err = NewDeployment(t.TempDir(), zones, capacity, controllerCount); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := z.Close(); err != nil {
			t.Error(err)
		}
		if t.Failed() {
			t.Log(z.Logs())
		}
	})
	for _, c := range z.Controllers {
		z.requireNoError(c.Start(z.program))
	}
	return z
}

// requireNoError ends the test if err is not nil.
func (z *zoneTest) requireNoError(err error) {
	z.t.Helper()
	if err != nil {
		z.t.Fatal(err)
	}
}

// await waits until a condition holds. what describes it in the failure message.
func (z *zoneTest) await(what string, holds func() bool) {
	z.t.Helper()
	z.awaitEvery(pollInterval, what, holds)
}

// awaitEvery checks a condition at the given interval until it holds.
func (z *zoneTest) awaitEvery(interval time.Duration, what string, holds func() bool) {
	z.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(interval) {
		if time.Now().After(deadline) {
			z.t.Fatalf("not within %v: %s", waitTimeout, what)
		}
	}
}

// awaitZoneCondition waits until the zone is in the given condition.
func (z *zoneTest) awaitZoneCondition(zone ids.Zone, want zonerecovery.Condition) {
	z.t.Helper()
	z.await(string(zone)+" "+want.String(), func() bool {
		status, _, ok := z.zoneStatus(zone)
		return ok && status.Condition == want
	})
}

// awaitJobState waits until every controller reports the job in the given final state. It fails the test
// if a controller reports another final state.
func (z *zoneTest) awaitJobState(id ids.JobID, want wire.JobState) {
	z.t.Helper()
	for i := range z.Controllers {
		z.await(string(id)+" "+string(want), func() bool {
			status, err := z.Users.StatusAt(z.ctx, i, id)
			if err != nil {
				return false
			}
			final := status.Status == wire.JobDone || status.Status == wire.JobCancelled
			if final && status.Status != want {
				z.t.Fatalf("%s is %s", id, status.Status)
			}
			return status.Status == want
		})
	}
}

// runCommand runs a subcommand of the program with the controller's settings and returns its output.
func (z *zoneTest) runCommand(c *Controller, args ...string) (string, error) {
	out, err := exec.CommandContext(z.ctx, z.program.Path, append(args, "--config", c.settingsPath)...).CombinedOutput()
	return string(out), err
}

// zoneStatus returns the zone's status and the leader's name as the zones command prints them.
func (z *zoneTest) zoneStatus(zone ids.Zone) (status zonerecovery.Status, leader ids.ControllerName, ok bool) {
	out, err := z.runCommand(z.Controllers[0], "zones", "--json")
	if err != nil {
		return status, "", false
	}
	var response peerapi.ZonesResponse
	if err := json.Unmarshal([]byte(out), &response); err != nil {
		return status, "", false
	}
	i := slices.IndexFunc(response.Zones, func(s zonerecovery.Status) bool { return s.Zone == zone })
	if i < 0 {
		return status, response.Leader, false
	}
	return response.Zones[i], response.Leader, true
}

// restartController kills the controller with the given name and starts it again.
func (z *zoneTest) restartController(name ids.ControllerName) {
	z.t.Helper()
	c := z.controllerNamed(name)
	c.Kill()
	z.requireNoError(c.Start(z.program))
}

// controllerNamed returns the controller with the given name.
func (z *zoneTest) controllerNamed(name ids.ControllerName) *Controller {
	z.t.Helper()
	i := slices.IndexFunc(z.Controllers, func(c *Controller) bool { return c.Name == name })
	if i < 0 {
		z.t.Fatalf("no controller named %q", name)
	}
	return z.Controllers[i]
}

// countRunning returns the number of running tasks of the job in all zones.
func (z *zoneTest) countRunning(job ids.JobID) int {
	count := 0
	for _, running := range z.History.RunningByZone(job) {
		count += running
	}
	return count
}

// countRunningOutside returns the number of running tasks of the job outside the given zone.
func (z *zoneTest) countRunningOutside(zone ids.Zone, job ids.JobID) int {
	return z.countRunning(job) - z.History.RunningByZone(job)[zone]
}

// checkNoConcurrentRuns checks that no task ran twice at the same time. Repeated starts are allowed and
// only logged.
func (z *zoneTest) checkNoConcurrentRuns() {
	z.t.Helper()
	if violations := z.History.Violations(); len(violations) > 0 {
		z.t.Errorf("violations: %v", violations)
	}
	z.t.Logf("%d tasks were started again after they completed", z.History.RepeatedStarts())
}
