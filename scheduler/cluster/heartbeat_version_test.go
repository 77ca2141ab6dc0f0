package cluster

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// While an agent runs, the order of its heartbeats follows from their incarnations and sequences. After a restart
// in which it lost both, a higher token shows that a heartbeat is newer. SentBefore, which proves a restart, must be
// false for what an agent sends later without one.
func TestHeartbeatVersions(t *testing.T) {
	newest := VersionOf(&wire.Heartbeat{FencingToken: 7, Incarnation: 2, Sequence: 5})
	for _, c := range []struct {
		name              string
		token             ids.FencingToken
		incarnation       ids.AgentIncarnation
		sequence          ids.Sequence
		newer, sentBefore bool
	}{
		{"earlier incarnation", 7, 1, 9, false, true},
		{"earlier message", 7, 2, 4, false, true},
		{"same message", 7, 2, 5, false, true},
		{"later message", 7, 2, 6, true, false},
		{"later incarnation", 7, 3, 1, true, false},
		{"later message with a higher token", 8, 2, 6, true, false},
		{"later message with a lower token", 6, 2, 6, false, true},
		{"restarted, lower token", 0, 1, 1, false, true},
		{"restarted, higher token", 8, 1, 1, true, true},
	} {
		version := VersionOf(&wire.Heartbeat{FencingToken: c.token, Incarnation: c.incarnation, Sequence: c.sequence})
		if newer, before := version.Newer(newest), version.SentBefore(newest); newer != c.newer || before != c.sentBefore {
			t.Errorf("%s: newer: %v, sent before: %v, want %v and %v", c.name, newer, before, c.newer, c.sentBefore)
		}
	}
}
