package faulttest

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// shortIntervalSettings are operator settings with which an outage is detected, and a zone recovers,
// within seconds. A recovery step takes at least half a second.
const shortIntervalSettings = `{"zone_return": {"enabled": true, "dark_after_s": 1, "recover_s": 0.5, "hold_down_s": 1, "hold_down_factor": 2, "hold_down_max_s": 4,
	"steps": [0.3], "step_s": 0.5, "return_max_s": 6, "hold_limit_s": 12, "patience_s": 10, "quiet_s": 600}}`

// eightStepsDuration is the minimum duration of eight recovery steps with shortIntervalSettings.
const eightStepsDuration = 4 * time.Second

// A zone flaps while the key-value store is unavailable. No start may be sent to the zone, because it
// could not be recorded, and the flaps must not be counted as outages. Once the store is available
// again, the zone must recover and the job must complete.
func TestZoneFlapsDuringKVOutage(t *testing.T) {
	operatorSettings := filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(operatorSettings, []byte(shortIntervalSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	z := newZoneTest(t, operatorSettings, []ids.Zone{"gdansk", "krakow", failedZone}, 4)
	array := Job{ID: "job-000001", Team: "maps", Class: "rebuild", Priority: "normal", Tasks: 150, CPUs: 2, Image: "rebuild", RunTime: 3 * time.Second}
	z.requireNoError(z.Users.Submit(z.ctx, array))
	z.await("the array runs in the zone", func() bool { return z.History.RunningByZone(array.ID)[failedZone] >= 10 })
	z.PartitionZone(failedZone)
	z.awaitZoneCondition(failedZone, zonerecovery.Outage)
	z.await("the leases in the zone expire", func() bool { return z.History.RunningByZone(array.ID)[failedZone] == 0 })

	z.KV.StartOutage()
	time.Sleep(2 * z.Timing.HeartbeatInterval) // starts recorded before the outage may still be sent
	began := time.Now()
	for range 2 {
		z.checkFlapDuringKVOutage()
	}
	z.HealZone(failedZone)
	z.awaitZoneCondition(failedZone, zonerecovery.Recovering)
	if starts := z.History.StartsReceived(array.ID, failedZone, began); starts > 0 {
		t.Errorf("%d starts were sent to the zone although they could not be recorded", starts)
	}

	z.KV.EndOutage()
	z.awaitZoneCondition(failedZone, zonerecovery.Serving)
	z.awaitJobState(array.ID, wire.JobDone)
	if status, _, ok := z.zoneStatus(failedZone); !ok || status.Outages != 1 {
		t.Errorf("%d outages counted, want 1: %+v", status.Outages, status)
	}
	z.checkNoConcurrentRuns()
}

// checkFlapDuringKVOutage ends the zone's partition and partitions the zone again. In the meantime the
// recovery must stay at step 0, because no task starts and so no start can succeed. After the new
// partition the zone must only become suspect, because without the store no outage can be recorded.
func (z *zoneTest) checkFlapDuringKVOutage() {
	z.t.Helper()
	z.HealZone(failedZone)
	z.awaitZoneCondition(failedZone, zonerecovery.Recovering)
	time.Sleep(eightStepsDuration)
	status, _, ok := z.zoneStatus(failedZone)
	if ok && (status.Condition != zonerecovery.Recovering || status.Step != 0) {
		z.t.Errorf("%s at step %d although no task started", status.Condition, status.Step)
	}
	z.PartitionZone(failedZone)
	z.awaitZoneCondition(failedZone, zonerecovery.Suspect)
}
