package controller

import (
	"context"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
)

// MachineTypes implements leader.Catalog.
func (n *Controller) MachineTypes() (types []wire.MachineType, ok bool) {
	if stored := n.catalog.Load(); stored != nil {
		return *stored, true
	}
	return nil, false
}

// Open implements leader.VersionGate.
func (n *Controller) Open() bool { return n.upgrade.done() }

// Load implements leader.VersionGate.
func (n *Controller) Load(ctx context.Context, store *kv.Client) error {
	return n.readUpgrade(ctx, store)
}

// lead does the work of one term until its context ends.
func (n *Controller) lead(ctx context.Context, term *election.Term) error {
	peers := make([]leader.Peer, len(n.peers))
	for i, p := range n.peers {
		peers[i] = p
	}
	own, err := leader.Load(ctx, term, leader.Dependencies{Platform: n.cfg, Operator: n.op, Clock: n.clock, Log: n.log,
		Store: n.leaderState, Cloud: n.cloud, Workers: n.workers, Catalog: n, VersionGate: n, Peers: peers})
	if err != nil {
		return err
	}
	n.leader.Store(own)
	defer n.leader.CompareAndSwap(own, nil)
	return own.Run(ctx)
}
