package settings

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/config"
)

// A leader that may be isolated must answer heartbeats for less than the cancel deadline minus a lease,
// and for 45 s longer if the machine has replicas.
func TestIsolatedGracesMatchCancelDeadline(t *testing.T) {
	operator, err := config.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	platform := &config.Platform{}
	platform.Settings.Workers.LeaseS, platform.Settings.Workers.CancelDeadlineS = 27, 52
	if d := IsolatedGrace(platform, operator); d < 23*time.Second || d > 24*time.Second {
		t.Errorf("isolated grace %v", d)
	}
	if d := IsolatedReplicaGrace(platform, operator); d < 68*time.Second || d > 69*time.Second {
		t.Errorf("isolated replica grace %v", d)
	}
}
