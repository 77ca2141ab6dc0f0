package faulttest

import (
	"strings"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// failedZone is the zone that fails in each test.
const failedZone = ids.Zone("wroclaw")

// A zone fails and recovers in a deployment of the built program, which is started as in
// deploy/service.toml with the settings in deploy/zone-return.json. The services must run in other
// zones before the zone recovers. The recovery must stay within the limits of its ramp-up, also after
// the leader is killed during it. Each job must reach exactly one final state.
func TestZoneOutageAndRecovery(t *testing.T) {
	z := newZoneTest(t, "deploy/zone-return.json", []ids.Zone{"gdansk", "krakow", failedZone}, 6)
	service := Job{ID: "job-000001", Team: "archive", Class: "query", Service: true, Priority: "high", Tasks: 9, CPUs: 2, Image: "query"}
	array := Job{ID: "job-000002", Team: "archive", Class: "homogenise", Priority: "normal", Tasks: 90, CPUs: 2, Image: "homogenise", RunTime: 9 * time.Second}
	z.requireNoError(z.Users.Submit(z.ctx, service))
	z.await("all replicas run", func() bool { return z.countRunning(service.ID) == service.Tasks })
	z.requireNoError(z.Users.Submit(z.ctx, array))
	z.await("the array runs in the zone", func() bool { return z.History.RunningByZone(array.ID)[failedZone] >= 15 })

	z.PartitionZone(failedZone)
	z.awaitZoneCondition(failedZone, zonerecovery.Outage)
	z.await("all replicas run elsewhere", func() bool { return z.countRunningOutside(failedZone, service.ID) == service.Tasks })

	laterArray := Job{ID: "job-000003", Team: "maps", Class: "reprocess", Priority: "normal", Tasks: 200, CPUs: 2, Image: "reprocess", RunTime: 2 * time.Second}
	z.requireNoError(z.Users.Submit(z.ctx, laterArray))
	z.HealZone(failedZone)
	z.checkRecoveryWithFailover(service.ID)

	z.awaitJobState(array.ID, wire.JobDone)
	z.awaitJobState(laterArray.ID, wire.JobDone)
	z.cancelService(service.ID)
	z.checkNoConcurrentRuns()
	z.checkHold()
	z.checkRelease()
	z.checkIncidents()
	z.checkUnknownZone()
}

// checkRecoveryWithFailover polls the zone until its recovery ends, and kills the leader after the first
// step. The starts in flight must not exceed the highest start limit of the ramp-up so far; the limit
// does not apply to those of the critical job. The failover must not change the number of outages.
func (z *zoneTest) checkRecoveryWithFailover(critical ids.JobID) {
	z.t.Helper()
	z.awaitZoneCondition(failedZone, zonerecovery.Recovering)
	began, maxStartLimit := time.Now(), 0
	outagesAtFailover, leaderKilled := 0, false
	notCritical := func(job ids.JobID) bool { return job != critical }
	z.awaitEvery(recoveryPollInterval, "the zone serves again", func() bool {
		status, leader, ok := z.zoneStatus(failedZone)
		if ok && status.Condition == zonerecovery.Serving {
			if !leaderKilled || outagesAtFailover == 0 || status.Outages != outagesAtFailover {
				z.t.Errorf("leader killed: %v, %d outages at the failover, %d after the recovery", leaderKilled, outagesAtFailover, status.Outages)
			}
			return true
		}
		if ok {
			maxStartLimit = max(maxStartLimit, status.StartLimit)
		}
		if inFlight := z.History.StartsInFlight(failedZone, began, notCritical); inFlight > maxStartLimit {
			z.t.Errorf("%d starts in flight, want at most %d", inFlight, maxStartLimit)
		}
		if ok && !leaderKilled && status.Step >= 1 {
			leaderKilled, outagesAtFailover = true, status.Outages
			z.restartController(leader)
		}
		return false
	})
}

// cancelService cancels the service and waits until it has no running task.
func (z *zoneTest) cancelService(id ids.JobID) {
	z.t.Helper()
	status, err := z.Users.Cancel(z.ctx, id)
	z.requireNoError(err)
	if status.Status != wire.JobCancelled {
		z.t.Errorf("the canceled service is %s", status.Status)
	}
	z.awaitJobState(id, wire.JobCancelled)
	z.await("the service has no task", func() bool { return z.countRunning(id) == 0 })
}

// checkHold holds the zone with the command, which must also work through a controller that is not the
// leader.
func (z *zoneTest) checkHold() {
	z.t.Helper()
	out, err := z.runCommand(z.Controllers[1], "zone", "hold", string(failedZone), "--reason", "power works", "--for", "1h")
	if err != nil || !strings.Contains(out, "power works") {
		z.t.Errorf("hold: %v: %s", err, out)
	}
	status, _, ok := z.zoneStatus(failedZone)
	if !ok || status.Override != zonerecovery.OverrideHold || status.RestrictedUntilMS == 0 {
		z.t.Errorf("after the hold: %+v", status)
	}
}

// checkRelease releases the zone with the command, which must remove the override.
func (z *zoneTest) checkRelease() {
	z.t.Helper()
	if out, err := z.runCommand(z.Controllers[2], "zone", "release", string(failedZone)); err != nil {
		z.t.Errorf("release: %v: %s", err, out)
	}
	status, _, ok := z.zoneStatus(failedZone)
	if !ok || status.Override != zonerecovery.OverrideNone || status.Condition != zonerecovery.Serving {
		z.t.Errorf("after the release: %+v", status)
	}
}

// checkIncidents checks that the incidents command lists the outage exactly once.
func (z *zoneTest) checkIncidents() {
	z.t.Helper()
	out, err := z.runCommand(z.Controllers[0], "zone", "incidents")
	if err != nil || strings.Count(out, string(failedZone)) != 1 {
		z.t.Errorf("incidents: %v: %s", err, out)
	}
}

// checkUnknownZone checks that a command for an unknown zone fails with a one-line message.
func (z *zoneTest) checkUnknownZone() {
	z.t.Helper()
	out, err := z.runCommand(z.Controllers[0], "zone", "hold", "poznan")
	if err == nil || strings.Count(out, "\n") != 1 || !strings.Contains(out, "unknown zone") {
		z.t.Errorf("an unknown zone: %v: %q", err, out)
	}
}
