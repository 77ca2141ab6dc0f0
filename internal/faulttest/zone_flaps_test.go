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

// shortIntervalSettings has outages detected, and zones recovered, within seconds. A step takes at
// least half a second.
const shortIntervalSettings = `{"zone_return": {"enabled": true, "dark_after_s": 1, "recover_s": 0.5, "hold_down_s": 1, "hold_down_factor": 2, "hold_down_max_s": 4,
	"steps": [0.3], "step_s": 0.5, "return_max_s": 6, "hold_limit_s": 12, "patience_s": 10, "quiet_s": 600}}`

// eightStepsDuration is the time of eight steps of shortIntervalSettings.
const eightStepsDuration = 4 * time.Second

// A zone flaps while the key-value store is unavailable. Nothing starts there that cannot
// be recorded. Once the store is back the zone recovers, and all work completes.
func TestZoneFlapsDuringKVOutage(t *testing.T) {
	operatorSettings := filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(operatorSettings, []byte(shortIntervalSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	z := newZoneTest(t, operatorSettings, []ids.Zone{"gdansk", "krakow", failedZone}, 4)
	array := Job{ID: "job-000001", Team: "maps", Class: "rebuild", Priority: "normal", Tasks: 150, CPUs: 2, Image: "rebuild", RunTime: 3 * time.Second}
	z.requireNoError(z.Users.Submit(z.ctx, array))
	z.awaitTrue("the array runs in the zone", func() bool { return z.History.RunningByZone(array.ID)[failedZone] >= 10 })
	z.PartitionZone(failedZone)
	z.awaitZoneCondition(failedZone, zonerecovery.Outage)
	z.awaitTrue("the leases in the zone expire", func() bool { return z.History.RunningByZone(array.ID)[failedZone] == 0 })

	z.KV.StartOutage()
	time.Sleep(2 * z.Timing.HeartbeatInterval) // starts that were recorded before may still be sent
	began := time.Now()
	for range 2 {
		z.checkFlapDuringKVOutage()
	}
	z.HealZone(failedZone)
	z.awaitZoneCondition(failedZone, zonerecovery.Recovering)
	if starts := z.History.StartsReceived(array.ID, failedZone, began); starts > 0 {
		t.Errorf("%d starts were sent to the zone although nothing could be recorded", starts)
	}

	z.KV.EndOutage()
	z.awaitZoneCondition(failedZone, zonerecovery.Serving)
	z.awaitJobState(array.ID, wire.JobDone)
	if status, _, ok := z.zoneStatus(failedZone); !ok || status.Outages != 1 {
		t.Errorf("%d flaps counted: %+v", status.Outages, status)
	}
	z.checkNoConcurrentRuns()
}

// checkFlapDuringKVOutage heals the zone and cuts it off again. Meanwhile no step can be
// proved, since no task starts; and without the store no outage can be recorded.
func (z *zoneTest) checkFlapDuringKVOutage() {
	z.t.Helper()
	z.HealZone(failedZone)
	z.awaitZoneCondition(failedZone, zonerecovery.Recovering)
	time.Sleep(eightStepsDuration)
	status, _, ok := z.zoneStatus(failedZone)
	if ok && (status.Condition != zonerecovery.Recovering || status.Step != 0) {
		z.t.Errorf("%s at step %d although nothing was proved", status.Condition, status.Step)
	}
	z.PartitionZone(failedZone)
	z.awaitZoneCondition(failedZone, zonerecovery.Suspect)
}
