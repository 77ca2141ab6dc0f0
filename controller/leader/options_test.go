package leader

import (
	"testing"

	"ospreystile.example/ospreystile/controller/settings"
)

// The next leader relies on the bounds within which a previous leader answers heartbeats. While some
// controller may run an older version without these bounds, it must assume the whole outage grace.
func TestGraceOfPreviousLeaders(t *testing.T) {
	dependencies := testDependencies(t, "127.0.0.1:4")
	dependencies.Platform.Settings.Workers.LeaseS, dependencies.Platform.Settings.Workers.CancelDeadlineS = 27, 52
	isolated := settings.IsolatedGrace(dependencies.Platform, dependencies.Operator)
	isolatedReplicas := settings.IsolatedReplicaGrace(dependencies.Platform, dependencies.Operator)
	dependencies.VersionGate = &testVersionGate{open: true}
	if o := dependencies.schedulerOptions(5, true); o.PreviousLeaderGrace != isolatedReplicas || o.PreviousLeaderGraceWithoutReplicas != isolated {
		t.Errorf("version gate open: grace is %v, without replicas %v", o.PreviousLeaderGrace, o.PreviousLeaderGraceWithoutReplicas)
	}
	dependencies.VersionGate = &testVersionGate{open: false}
	grace := dependencies.Operator.Grace()
	if o := dependencies.schedulerOptions(5, true); o.PreviousLeaderGrace != grace || o.PreviousLeaderGraceWithoutReplicas != grace {
		t.Errorf("version gate closed: grace is %v, without replicas %v", o.PreviousLeaderGrace, o.PreviousLeaderGraceWithoutReplicas)
	}
}
