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

// handle answers the other controllers.
func (n *Controller) handle(ctx context.Context, op peerrpc.Operation, body []byte) (any, error) {
	switch op {
	case peerapi.OpPing:
		return handleBody(body, n.handlePing)
	case peerapi.OpStore:
		return handleBody(body, func(call peerapi.StoreCall) (any, error) { return n.handleStateCall(ctx, call) })
	}
	t := n.leader.Load()
	if t == nil || !t.MayAnswerHeartbeats() {
		return nil, peerapi.ErrNotLeading
	}
	switch op {
	case peerapi.OpProgress:
		return handleBody(body, func(jobs []ids.JobID) (any, error) { return handleProgress(ctx, t, jobs) })
	case peerapi.OpJob:
		return handleBody(body, func(notice peerapi.JobNotice) (any, error) { return handleJobNotice(ctx, t, notice) })
	case peerapi.OpZones:
		return t.Zones(ctx)
	case peerapi.OpZoneOverride:
		return handleBody(body, func(o peerapi.ZoneOverride) (any, error) { return t.OverrideZone(ctx, o) })
	case peerapi.OpHeartbeats:
		return handleBody(body, func(reports [][]byte) (any, error) { return relayedReports(ctx, t, reports) })
	}
	return nil, fmt.Errorf("%w: %s", peerapi.ErrUnknownOperation, op)
}

// handleBody decodes a request's body and hands it to its handler.
func handleBody[T any](body []byte, handler func(T) (any, error)) (any, error) {
	var request T
	if err := peerrpc.Decode(body, &request); err != nil {
		return nil, err
	}
	return handler(request)
}

func (n *Controller) handlePing(p peerapi.Ping) (any, error) {
	n.observePing(p)
	if from := n.peerNamed(p.From); from != nil {
		from.observeVersion(p)
	}
	return n.ping(), nil
}

// handleStateCall sends a peer's request to the state service, directly.
func (n *Controller) handleStateCall(ctx context.Context, call peerapi.StoreCall) (any, error) {
	timeout := time.Duration(call.TimeoutMS) * time.Millisecond
	status, body, err := (&directRoute{n}).Do(ctx, call.Method, call.Path, call.Body, timeout)
	if err != nil {
		return peerapi.StoreAnswer{NotSent: kv.IsNotSent(err), Unknown: !kv.IsNotSent(err)}, nil
	}
	return peerapi.StoreAnswer{Status: status, Body: body}, nil
}

func handleProgress(ctx context.Context, own *leader.Leader, jobs []ids.JobID) (any, error) {
	answer := progressAt(ctx, own, jobs)
	if answer == nil {
		return nil, peerapi.ErrNotLeading
	}
	return answer, nil
}

func handleJobNotice(ctx context.Context, own *leader.Leader, notice peerapi.JobNotice) (any, error) {
	record := new(records.Job)
	if err := wire.Decode(notice.Record, record); err != nil {
		return nil, err
	}
	return own.AcknowledgeCancellation(ctx, leader.JobRecord{ID: notice.ID, Record: record, Revision: notice.Revision}), nil
}
