package leader

import (
	"testing"

	"ospreystile.example/ospreystile/controller/settings"
)

// The next leader counts on the bounds that this one keeps to. While some controller may be
// older, it counts on the whole grace.
func TestGraceOfPreviousLeaders(t *testing.T) {
	dependencies := testDependencies(t, "127.0.0.1:4")
	dependencies.Platform.Settings.Workers.LeaseS, dependencies.Platform.Settings.Workers.CancelDeadlineS = 27, 52
	isolated := settings.IsolatedGrace(dependencies.Platform, dependencies.Operator)
	isolatedReplicas := settings.IsolatedReplicaGrace(dependencies.Platform, dependencies.Operator)
	dependencies.VersionGate = &testGate{open: true}
	if o := dependencies.schedulerOptions(5, true); o.PreviousLeaderGrace != isolatedReplicas || o.PreviousLeaderGraceWithoutReplicas != isolated {
		t.Errorf("the next leader counts on %v and %v", o.PreviousLeaderGrace, o.PreviousLeaderGraceWithoutReplicas)
	}
	dependencies.VersionGate = &testGate{open: false}
	grace := dependencies.Operator.Grace()
	if o := dependencies.schedulerOptions(5, true); o.PreviousLeaderGrace != grace || o.PreviousLeaderGraceWithoutReplicas != grace {
		t.Errorf("with older controllers the next leader counts on %v and %v", o.PreviousLeaderGrace, o.PreviousLeaderGraceWithoutReplicas)
	}
}
