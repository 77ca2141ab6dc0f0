package zonerecovery

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// The probe admits a few eligible tasks, and all critical tasks.
func TestProbeAdmitsFewSmallTasks(t *testing.T) {
	f := newFixture(t)
	f.beginRecovery()
	f.wantAdmission("a large task", taskRequest("job-2"), DeniedProbeOnly)
	f.wantAdmission("the first probe", probeRequest("job-1"), Admitted)
	f.wantAdmission("the second probe", probeRequest("job-1"), Admitted)
	f.wantAdmission("a third probe", probeRequest("job-1"), DeniedStartLimit)
	f.wantAdmission("critical work", criticalRequest("job-3"), Admitted)
}

// Image fetches have their own limit. A fetch that several starts share counts once. A start that
// needs a fetch is denied if its machine is fetching another image, which it would slow down.
func TestFetchLimit(t *testing.T) {
	f := newFixture(t)
	f.recoverToStep1() // 0.2 of the full limits, with 10 machines and 0.3 fetches for each
	fetch := func(machine ids.MachineID) StartRequest {
		request := probeRequest("job-1")
		request.NeedsFetch, request.Machine, request.Image = true, machine, "i"
		return request
	}
	busy := fetch("n-a")
	busy.MachineFetching = true
	f.wantAdmission("during another fetch of the machine", busy, DeniedFetchLimit)
	f.wantAdmission("the first fetch", fetch("n-a"), Admitted)
	f.wantAdmission("the same fetch", fetch("n-a"), Admitted)
	f.wantAdmission("above the limit of starts", fetch("n-b"), DeniedStartLimit)
	f.manager.policy.StartsPerMachine = 10
	f.wantAdmission("a second fetch", fetch("n-b"), DeniedFetchLimit)
}

// Only critical tasks start in a window. The recovery continues after the window.
func TestWindowAdmitsOnlyCriticalWork(t *testing.T) {
	f := newFixture(t)
	f.manager.policy.Windows = []*Window{mustWindow(t, WindowSettings{Name: "w", TimeZone: "UTC", From: "12:00", To: "12:10"})}
	f.beginRecovery()
	f.wantAdmission("in the window", probeRequest("job-1"), DeniedWindow)
	f.wantAdmission("critical work in the window", criticalRequest("job-2"), Admitted)
	if got, want := f.status().RestrictedUntilMS, time.Date(2026, 5, 4, 12, 10, 0, 0, time.UTC).UnixMilli(); got != want {
		t.Errorf("restricted until %v, want the end of the window", time.UnixMilli(got).UTC())
	}
	f.runFor(9*time.Minute+50*time.Second, testMachines)
	f.wantAdmission("after the window", probeRequest("job-1"), Admitted)
}
