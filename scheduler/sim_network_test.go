package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// simNetwork simulates the network. Faults: delayed and duplicated messages, slow links, and a zone
// that only a previous leader reaches.
type simNetwork struct {
	// slowLinkLatency is the maximum latency of a message on slow links. 0 means that links are fast.
	slowLinkLatency time.Duration
	// duplicateChance is the probability with which a heartbeat is duplicated.
	duplicateChance float64
	// delayedHeartbeats are duplicates that are delivered to the next leader.
	delayedHeartbeats []*wire.Heartbeat
	// isolatedZone is a zone that only the previous leader reaches until isolatedZoneUntil.
	isolatedZone      ids.Zone
	isolatedZoneUntil monotonic.Instant
}

// latency returns the random latency of a message. Most take at most 20 ms or, on slow links, at most
// slowLinkLatency. With faults, some take up to 65 s.
func (s *sim) latency() time.Duration {
	if s.chance(0.02) {
		return time.Duration(5+s.rng.IntN(60)) * time.Second
	}
	if s.faults && s.slowLinkLatency > 0 {
		return time.Duration(s.rng.Int64N(int64(s.slowLinkLatency)))
	}
	return time.Duration(1+s.rng.IntN(20)) * time.Millisecond
}
