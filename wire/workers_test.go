package wire

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
)

func TestHeartbeatNewer(t *testing.T) {
	heartbeat := Heartbeat{Incarnation: 2, Sequence: 5}
	for _, c := range []struct {
		name        string
		incarnation ids.AgentIncarnation
		sequence    ids.Sequence
		newer       bool
	}{
		{"earlier incarnation", 1, 9, true},
		{"earlier message", 2, 4, true},
		{"same message", 2, 5, false},
		{"later message", 2, 6, false},
		{"later incarnation", 3, 1, false},
	} {
		if got := heartbeat.Newer(c.incarnation, c.sequence); got != c.newer {
			t.Errorf("%s: newer %v", c.name, got)
		}
	}
}
