package controller

import (
	"context"
	"fmt"
	"time"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/peerrpc"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// peerHandler answers the requests of other controllers and of operators' commands.
type peerHandler struct {
	pinger      *pinger
	localLeader *localLeader
	direct      *directRoute
}

// handle implements peerrpc.Handler.
func (h *peerHandler) handle(ctx context.Context, op peerrpc.Operation, body []byte) (any, error) {
	switch op {
	case peerapi.OpPing:
		return handleBody(body, func(ping peerapi.Ping) (any, error) { return h.pinger.answer(ping), nil })
	case peerapi.OpStore:
		return handleBody(body, func(call peerapi.StoreCall) (any, error) { return h.forwardStoreCall(ctx, call), nil })
	}
	local := h.localLeader.answering()
	if local == nil {
		return nil, peerapi.ErrNotLeading
	}
	return handleAsLeader(ctx, local, op, body)
}

// handleAsLeader answers the operations that only the leader answers.
func handleAsLeader(ctx context.Context, local *leader.Leader, op peerrpc.Operation, body []byte) (any, error) {
	switch op {
	case peerapi.OpProgress:
		return handleBody(body, func(jobs []ids.JobID) (any, error) { return localProgress(ctx, local, jobs) })
	case peerapi.OpJob:
		return handleBody(body, func(notice peerapi.JobNotice) (any, error) { return acknowledgeNotice(ctx, local, notice) })
	case peerapi.OpZones:
		return local.Zones(ctx)
	case peerapi.OpZoneOverride:
		return handleBody(body, func(override peerapi.ZoneOverride) (any, error) { return local.OverrideZone(ctx, override) })
	case peerapi.OpHeartbeats:
		return handleBody(body, func(encoded [][]byte) (any, error) { return answerRelayed(ctx, local, encoded) })
	}
	return nil, fmt.Errorf("%w: %s", peerapi.ErrUnknownOperation, op)
}

// handleBody decodes the body of a request and calls the handler with it.
func handleBody[T any](body []byte, handler func(T) (any, error)) (any, error) {
	var request T
	if err := peerrpc.Decode(body, &request); err != nil {
		return nil, err
	}
	return handler(request)
}

// forwardStoreCall sends a peer's request to the key-value store. It uses the direct route, so a request
// is never forwarded twice.
func (h *peerHandler) forwardStoreCall(ctx context.Context, call peerapi.StoreCall) peerapi.StoreResponse {
	timeout := time.Duration(call.TimeoutMS) * time.Millisecond
	status, body, err := h.direct.Do(ctx, call.Method, call.Path, call.Body, timeout)
	if err != nil {
		return peerapi.StoreResponse{NotSent: kv.IsNotSent(err), Indeterminate: !kv.IsNotSent(err)}
	}
	return peerapi.StoreResponse{Status: status, Body: body}
}

// acknowledgeNotice passes a job's record from a follower to the leader in this process, and returns the
// answer to the notice; see peerapi.JobNotice.
func acknowledgeNotice(ctx context.Context, local *leader.Leader, notice peerapi.JobNotice) (bool, error) {
	record := new(records.Job)
	if err := wire.Decode(notice.Record, record); err != nil {
		return false, err
	}
	return local.AcknowledgeCancellation(ctx, leader.JobRecord{ID: notice.ID, Record: record, Revision: notice.Revision}), nil
}

// answerRelayed returns the answers of the leader in this process to heartbeats that a follower relays.
// A heartbeat that cannot be decoded is not answered.
func answerRelayed(ctx context.Context, local *leader.Leader, encoded [][]byte) ([]peerapi.HeartbeatAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	heartbeats := make([]*wire.Heartbeat, len(encoded))
	for i := range encoded {
		if heartbeat, err := wire.ParseHeartbeat(encoded[i]); err == nil {
			heartbeats[i] = heartbeat
		}
	}
	return local.AnswerHeartbeats(ctx, heartbeats)
}
