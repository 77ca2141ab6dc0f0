package node

import (
	"context"
	"errors"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/ledger"
	"ospreystile.example/ospreystile/mesh"
	"ospreystile.example/ospreystile/statestore"
	"ospreystile.example/ospreystile/wire"
)

// handle answers the other controllers.
func (n *Node) handle(ctx context.Context, op string, body []byte) (any, error) {
	switch op {
	case "ping":
		var p ping
		if err := mesh.Decode(body, &p); err != nil {
			return nil, err
		}
		n.observePing(p)
		if from := n.peerNamed(p.From); from != nil {
			from.observeVersion(p)
		}
		return n.ping(), nil
	case "state":
		var c stateCall
		if err := mesh.Decode(body, &c); err != nil {
			return nil, err
		}
		status, ans, err := (&directRoute{n}).Do(ctx, c.Method, c.Path, c.Body, time.Duration(c.TimeoutMS)*time.Millisecond)
		if err != nil {
			return stateAnswer{NotSent: statestore.NotSent(err), Unknown: !statestore.NotSent(err)}, nil
		}
		return stateAnswer{Status: status, Body: ans}, nil
	}
	t := n.term.Load()
	if t == nil || !t.key.MayAnswer() {
		return nil, errNotLeading
	}
	switch op {
	case "progress":
		var list []ids.JobID
		if err := mesh.Decode(body, &list); err != nil {
			return nil, err
		}
		ans := t.progress(ctx, list)
		if ans == nil {
			return nil, errNotLeading
		}
		return ans, nil
	case "job":
		var a jobNotice
		if err := mesh.Decode(body, &a); err != nil {
			return nil, err
		}
		rec := new(ledger.Job)
		if err := wire.Decode(a.Record, rec); err != nil {
			return nil, err
		}
		return t.acknowledge(ctx, a.ID, rec, a.Revision), nil
	case "reports":
		var raws [][]byte
		if err := mesh.Decode(body, &raws); err != nil {
			return nil, err
		}
		return n.relayedReports(ctx, t, raws)
	}
	return nil, errors.New("unknown request " + op)
}
