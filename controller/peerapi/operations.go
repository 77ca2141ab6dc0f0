// Package peerapi defines the requests that controllers and operators' commands send to controllers over
// peerrpc, and the answers: names of operations, messages and refusals. Controllers of two versions
// communicate with each other during an upgrade, so names of operations, tags of fields and texts of
// refusals must not change. The package does no I/O.
package peerapi

import (
	"ospreystile.example/ospreystile/peerrpc"
)

// The operations that a controller answers, under the names that the version in production uses. Only
// the leader answers the operations other than OpPing and OpStore.
const (
	// OpPing sends a Ping, and answers with a Ping.
	OpPing peerrpc.Operation = "ping"
	// OpStore forwards a StoreCall to the key-value store, and answers with a StoreResponse.
	OpStore peerrpc.Operation = "state"
	// OpProgress sends a list of job IDs, and answers with a JobProgress for each.
	OpProgress peerrpc.Operation = "progress"
	// OpJob sends a JobNotice, and answers with a bool; see JobNotice.
	OpJob peerrpc.Operation = "job"
	// OpHeartbeats sends encoded heartbeats, and answers with a HeartbeatAnswer for each.
	OpHeartbeats peerrpc.Operation = "reports"
	// OpZones asks for the conditions of all zones, and answers with a ZonesResponse.
	OpZones peerrpc.Operation = "zones"
	// OpZoneOverride sends a ZoneOverride, and answers with a ZonesResponse once the override is
	// recorded.
	OpZoneOverride peerrpc.Operation = "zone-override"
)

// The refusals of requests. Callers test for them with errors.Is.
const (
	// ErrNotLeading refuses a request that only the leader answers.
	ErrNotLeading = peerrpc.Refusal("not leading")
	// ErrUnknownOperation refuses an operation that this version does not support.
	ErrUnknownOperation = peerrpc.Refusal("unknown operation")
	// ErrZoneRecoveryDisabled refuses a ZoneOverride if zone recovery is disabled.
	ErrZoneRecoveryDisabled = peerrpc.Refusal("zone_return.enabled is false in the operators' settings")
	// ErrOverrideNotRecorded means that the leader could not confirm in time that a ZoneOverride is
	// recorded. The override may still take effect.
	ErrOverrideNotRecorded = peerrpc.Refusal("not recorded in time: look at the zones, and decide again")
)
