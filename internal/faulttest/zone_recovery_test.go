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

// The built program, started as deploy/service.toml says with deploy/zone-return.json,
// loses a zone and recovers it. Services run elsewhere before the zone is back. The
// recovery stays within its ramp, also when the leader is killed in the middle. Each job
// reaches exactly one final state.
func TestZoneOutageAndRecovery(t *testing.T) {
	z := newZoneTest(t, "deploy/zone-return.json", []ids.Zone{"gdansk", "krakow", failedZone}, 6)
	service := Job{ID: "job-000001", Team: "archive", Class: "query", Service: true, Priority: "high", Tasks: 9, CPUs: 2, Image: "query"}
	array := Job{ID: "job-000002", Team: "archive", Class: "homogenise", Priority: "normal", Tasks: 90, CPUs: 2, Image: "homogenise", RunTime: 9 * time.Second}
	z.requireNoError(z.Users.Submit(z.ctx, service))
	z.awaitTrue("all replicas run", func() bool { return z.countRunning(service.ID) == service.Tasks })
	z.requireNoError(z.Users.Submit(z.ctx, array))
	z.awaitTrue("the array runs in the zone", func() bool { return z.History.RunningByZone(array.ID)[failedZone] >= 15 })

	z.PartitionZone(failedZone)
	z.awaitZoneCondition(failedZone, zonerecovery.Outage)
	z.awaitTrue("all replicas run elsewhere", func() bool { return z.countRunningOutside(failedZone, service.ID) == service.Tasks })

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

// checkRecoveryWithFailover follows the recovery of the zone to its end, and kills the
// leader in the middle. The starts in flight must stay within what the ramp allowed so far;
// those of the critical job do not count.
func (z *zoneTest) checkRecoveryWithFailover(critical ids.JobID) {
	z.t.Helper()
	z.awaitZoneCondition(failedZone, zonerecovery.Recovering)
	began, maxLimit := time.Now(), 0
	flapsAtFailover, killed := 0, false
	notCritical := func(job ids.JobID) bool { return job != critical }
	z.awaitTrueEvery(recoveryPollInterval, "the zone serves again", func() bool {
		status, leader, ok := z.zoneStatus(failedZone)
		if ok && status.Condition == zonerecovery.Serving {
			if !killed || flapsAtFailover == 0 || status.Outages != flapsAtFailover {
				z.t.Errorf("leader killed %v: %d flaps before, %d after the recovery", killed, flapsAtFailover, status.Outages)
			}
			return true
		}
		if ok {
			maxLimit = max(maxLimit, status.StartLimit)
		}
		if inFlight := z.History.StartsInFlight(failedZone, began, notCritical); inFlight > maxLimit {
			z.t.Errorf("%d starts in flight, at most %d are allowed", inFlight, maxLimit)
		}
		if ok && !killed && status.Step >= 1 {
			killed, flapsAtFailover = true, status.Outages
			z.restartController(leader)
		}
		return false
	})
}

// cancelService cancels a service, and waits until its tasks are gone.
func (z *zoneTest) cancelService(id ids.JobID) {
	z.t.Helper()
	status, err := z.Users.Cancel(z.ctx, id)
	z.requireNoError(err)
	if status.Status != wire.JobCancelled {
		z.t.Errorf("the service is %s", status.Status)
	}
	z.awaitJobState(id, wire.JobCancelled)
	z.awaitTrue("the service has no task", func() bool { return z.countRunning(id) == 0 })
}

// checkHold holds the zone by command, through a controller that need not lead.
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

// checkRelease releases the zone by command.
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

// checkIncidents checks that the outage is listed once.
func (z *zoneTest) checkIncidents() {
	z.t.Helper()
	out, err := z.runCommand(z.Controllers[0], "zone", "incidents")
	if err != nil || strings.Count(out, string(failedZone)) != 1 {
		z.t.Errorf("incidents: %v: %s", err, out)
	}
}

// checkUnknownZone checks that a command about an unknown zone fails with one line.
func (z *zoneTest) checkUnknownZone() {
	z.t.Helper()
	out, err := z.runCommand(z.Controllers[0], "zone", "hold", "poznan")
	if err == nil || strings.Count(out, "\n") != 1 || !strings.Contains(out, "unknown zone") {
		z.t.Errorf("an unknown zone: %v: %q", err, out)
	}
}
