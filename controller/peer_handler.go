package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/peerrpc"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// The operations between controllers, as the version in production names them.
const (
	// opPing exchanges pings.
	opPing peerrpc.Operation = "ping"
	// opState sends a stateCall to the state service by way of a peer, and answers with a
	// stateAnswer.
	opState peerrpc.Operation = "state"
	// opProgress asks the leader for the progress of a list of jobs.
	opProgress peerrpc.Operation = "progress"
	// opJob hands a jobNotice to the leader, and answers whether it is acknowledged.
	opJob peerrpc.Operation = "job"
	// opReports passes workers' reports on to the leader, and answers with a
	// relayedAnswer for each.
	opReports peerrpc.Operation = "reports"
)

// errUnknownOperation refuses an operation that this version does not know.
var errUnknownOperation = errors.New("unknown operation")

// handle answers the other controllers.
func (n *Controller) handle(ctx context.Context, op peerrpc.Operation, body []byte) (any, error) {
	switch op {
	case opPing:
		return handleBody(body, n.handlePing)
	case opState:
		return handleBody(body, func(call stateCall) (any, error) { return n.handleStateCall(ctx, call) })
	}
	t := n.term.Load()
	if t == nil || !t.key.MayAnswerHeartbeats() {
		return nil, errNotLeading
	}
	switch op {
	case opProgress:
		return handleBody(body, func(jobs []ids.JobID) (any, error) { return t.handleProgress(ctx, jobs) })
	case opJob:
		return handleBody(body, func(notice jobNotice) (any, error) { return t.handleJobNotice(ctx, notice) })
	case opZones:
		return t.handleZones(ctx)
	case opZoneOverride:
		return handleBody(body, func(o ZoneOverride) (any, error) { return t.handleZoneOverride(ctx, o) })
	case opReports:
		return handleBody(body, func(reports [][]byte) (any, error) { return n.relayedReports(ctx, t, reports) })
	}
	return nil, fmt.Errorf("%w: %s", errUnknownOperation, op)
}

// handleBody decodes a request's body and hands it to its handler.
func handleBody[T any](body []byte, handler func(T) (any, error)) (any, error) {
	var request T
	if err := peerrpc.Decode(body, &request); err != nil {
		return nil, err
	}
	return handler(request)
}

func (n *Controller) handlePing(p ping) (any, error) {
	n.observePing(p)
	if from := n.peerNamed(p.From); from != nil {
		from.observeVersion(p)
	}
	return n.ping(), nil
}

// handleStateCall sends a peer's request to the state service, directly.
func (n *Controller) handleStateCall(ctx context.Context, call stateCall) (any, error) {
	timeout := time.Duration(call.TimeoutMS) * time.Millisecond
	status, body, err := (&directRoute{n}).Do(ctx, call.Method, call.Path, call.Body, timeout)
	if err != nil {
		return stateAnswer{NotSent: kv.IsNotSent(err), Unknown: !kv.IsNotSent(err)}, nil
	}
	return stateAnswer{Status: status, Body: body}, nil
}

func (t *term) handleProgress(ctx context.Context, jobs []ids.JobID) (any, error) {
	answer := t.progress(ctx, jobs)
	if answer == nil {
		return nil, errNotLeading
	}
	return answer, nil
}

func (t *term) handleJobNotice(ctx context.Context, notice jobNotice) (any, error) {
	record := new(records.Job)
	if err := wire.Decode(notice.Record, record); err != nil {
		return nil, err
	}
	return t.acknowledge(ctx, notice.ID, record, notice.Revision), nil
}
