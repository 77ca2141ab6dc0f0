package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// simNetwork stands in for the network. Faults: delayed and duplicated messages, slow links,
// and a zone that only a previous leader reaches.
type simNetwork struct {
	// extraLatency is the most that slow links add to a message.
	extraLatency time.Duration
	// duplicateChance is the chance that a heartbeat is duplicated.
	duplicateChance float64
	// delayedHeartbeats are duplicates that come to the next leader.
	delayedHeartbeats []*wire.Heartbeat
	// isolatedZone is a zone that until isolatedZoneUntil is reached by the previous leader
	// alone.
	isolatedZone      ids.Zone
	isolatedZoneUntil monotonic.Instant
}

// latency is that of a message: mostly short, but some messages are delayed for long.
func (s *sim) latency() time.Duration {
	if s.chance(0.02) {
		return time.Duration(5+s.rng.IntN(60)) * time.Second
	}
	if s.faults && s.extraLatency > 0 {
		return time.Duration(s.rng.Int64N(int64(s.extraLatency)))
	}
	return time.Duration(1+s.rng.IntN(20)) * time.Millisecond
}
