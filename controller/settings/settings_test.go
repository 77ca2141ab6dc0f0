package settings

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/config"
)

// A leader that may be isolated answers for less than the cancel deadline less a lease, and 45 s
// longer for machines with replicas.
func TestIsolatedGracesMatchCancelDeadline(t *testing.T) {
	operator, err := config.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	platform := &config.Platform{}
	platform.Settings.Workers.LeaseS, platform.Settings.Workers.CancelDeadlineS = 27, 52
	if d := IsolatedGrace(platform, operator); d < 23*time.Second || d > 24*time.Second {
		t.Errorf("isolated for %v", d)
	}
	if d := IsolatedReplicaGrace(platform, operator); d < 68*time.Second || d > 69*time.Second {
		t.Errorf("isolated with replicas for %v", d)
	}
}
