package zonerecovery

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// The probe admits a few small tasks, and all critical work.
func TestProbeAdmitsFewSmallTasks(t *testing.T) {
	f := newFixture(t)
	f.beginRecovery()
	f.wantAdmission("a large task", taskRequest("job-2"), DeniedProbeOnly)
	f.wantAdmission("the first probe", probeRequest("job-1"), Admitted)
	f.wantAdmission("the second probe", probeRequest("job-1"), Admitted)
	f.wantAdmission("a third probe", probeRequest("job-1"), DeniedStartLimit)
	f.wantAdmission("critical work", criticalRequest("job-3"), Admitted)
}

// Image fetches have their own limit, a shared one counts once, and none slows another down.
func TestFetchLimit(t *testing.T) {
	f := newFixture(t)
	f.recoverToStep1() // the first share: 0.2 of 10 machines, 0.3 fetches each
	fetch := func(machine ids.MachineID) StartRequest {
		request := probeRequest("job-1")
		request.NeedsFetch, request.Machine, request.Image = true, machine, "i"
		return request
	}
	busy := fetch("n-a")
	busy.MachineFetching = true
	f.wantAdmission("beside another fetch of the machine", busy, DeniedFetchLimit)
	f.wantAdmission("the first fetch", fetch("n-a"), Admitted)
	f.wantAdmission("the same fetch", fetch("n-a"), Admitted)
	f.wantAdmission("beyond the limit of starts", fetch("n-b"), DeniedStartLimit)
	f.manager.policy.StartsPerMachine = 10
	f.wantAdmission("a second fetch", fetch("n-b"), DeniedFetchLimit)
}

// In a window only critical work starts; afterwards the recovery goes on.
func TestWindowAdmitsOnlyCriticalWork(t *testing.T) {
	f := newFixture(t)
	f.manager.policy.Windows = []*Window{mustWindow(t, WindowSettings{Name: "w", TimeZone: "UTC", From: "12:00", To: "12:10"})}
	f.beginRecovery()
	f.wantAdmission("in the window", probeRequest("job-1"), DeniedWindow)
	f.wantAdmission("critical work in the window", criticalRequest("job-2"), Admitted)
	if got, want := f.status().RestrictedUntilMS, time.Date(2026, 5, 4, 12, 10, 0, 0, time.UTC).UnixMilli(); got != want {
		t.Errorf("restricted until %v", time.UnixMilli(got).UTC())
	}
	f.runFor(9*time.Minute+50*time.Second, testMachines)
	f.wantAdmission("after the window", probeRequest("job-1"), Admitted)
}
