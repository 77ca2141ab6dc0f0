// Package peerapi defines the requests and answers that controllers, and operators' commands,
// send to controllers over peerrpc: names of operations, messages and refusals. Controllers of
// two versions talk to each other during an upgrade, so names, tags and texts of refusals must
// not change. The package does no I/O.
package peerapi

import (
	"ospreystile.example/ospreystile/peerrpc"
)

// The operations between controllers, as the version in production names them. Every
// operation but OpPing and OpStore is answered by the leader alone.
const (
	// OpPing exchanges Pings.
	OpPing peerrpc.Operation = "ping"
	// OpStore forwards a StoreCall to the key-value store, and answers with a StoreAnswer.
	OpStore peerrpc.Operation = "state"
	// OpProgress sends a list of job IDs, and answers with a JobProgress for each.
	OpProgress peerrpc.Operation = "progress"
	// OpJob sends a JobNotice, and answers whether the leader acknowledges it (a bool).
	OpJob peerrpc.Operation = "job"
	// OpHeartbeats sends encoded heartbeats, and answers with a HeartbeatAnswer for each.
	OpHeartbeats peerrpc.Operation = "reports"
	// OpZones asks for the conditions of all zones, and answers with a ZonesResponse.
	OpZones peerrpc.Operation = "zones"
	// OpZoneOverride sends a ZoneOverride, and answers with a ZonesResponse once the
	// override is recorded.
	OpZoneOverride peerrpc.Operation = "zone-override"
)

// Refusals. The caller tests for them with errors.Is.
const (
	// ErrNotLeading refuses a request that only the leader answers.
	ErrNotLeading = peerrpc.Refusal("not leading")
	// ErrUnknownOperation refuses an operation that this version does not have.
	ErrUnknownOperation = peerrpc.Refusal("unknown operation")
	// ErrZoneRecoveryDisabled refuses a ZoneOverride where zones are not watched.
	ErrZoneRecoveryDisabled = peerrpc.Refusal("zone_return.enabled is false in the operators' settings")
	// ErrOverrideNotRecorded means that a ZoneOverride was not known to be recorded in time.
	// It may still take effect.
	ErrOverrideNotRecorded = peerrpc.Refusal("not recorded in time: look at the zones, and decide again")
)
