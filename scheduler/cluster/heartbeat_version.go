package cluster

import (
	"cmp"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// HeartbeatVersion orders the heartbeats of an agent. All three numbers only rise while the agent runs. An
// agent that restarts may begin again with the lowest ones, and gets a higher fencing token later on, so the
// token counts first.
type HeartbeatVersion struct {
	FencingToken ids.FencingToken // highest token that the agent had seen
	Incarnation  ids.AgentIncarnation
	Sequence     ids.Sequence
}

// VersionOf returns the version of a heartbeat.
func VersionOf(heartbeat *wire.Heartbeat) HeartbeatVersion {
	return HeartbeatVersion{heartbeat.FencingToken, heartbeat.Incarnation, heartbeat.Sequence}
}

// Newer reports whether a heartbeat is newer than another one of the same agent.
func (v HeartbeatVersion) Newer(than HeartbeatVersion) bool {
	order := cmp.Or(
		cmp.Compare(v.FencingToken, than.FencingToken),
		cmp.Compare(v.Incarnation, than.Incarnation),
		cmp.Compare(v.Sequence, than.Sequence),
	)
	return order > 0
}

// SentBefore reports whether an agent that has run without a restart sent a heartbeat before another one, or
// whether both are the same.
func (v HeartbeatVersion) SentBefore(other HeartbeatVersion) bool {
	if v.FencingToken < other.FencingToken {
		return true
	}
	return v.Incarnation < other.Incarnation || v.Incarnation == other.Incarnation && v.Sequence <= other.Sequence
}
