package controller

import (
	"context"
	"sync/atomic"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/election"
)

// localLeader holds the leader in this process while this controller leads, and otherwise nil. It is
// safe for concurrent use.
type localLeader struct{ current atomic.Pointer[leader.Leader] }

// get returns the leader in this process, or nil.
func (l *localLeader) get() *leader.Leader { return l.current.Load() }

// answering returns the leader in this process if it may answer workers and peers now, or nil.
func (l *localLeader) answering() *leader.Leader {
	if local := l.get(); local != nil && local.MayAnswerHeartbeats() {
		return local
	}
	return nil
}

// leadership runs a leader for each term of this controller.
type leadership struct {
	localLeader  *localLeader
	dependencies leader.Dependencies
}

// lead runs the leader of one term until the context ends. The election calls it for one term at a
// time.
func (l *leadership) lead(ctx context.Context, term *election.Term) error {
	local, err := leader.Load(ctx, term, l.dependencies)
	if err != nil {
		return err
	}
	l.localLeader.current.Store(local)
	defer l.localLeader.current.CompareAndSwap(local, nil)
	return local.Run(ctx)
}
