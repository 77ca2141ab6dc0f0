package election

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/kv"
)

// late is a client whose requests may arrive a second time, long after, and
// whose answers may be lost: what a process sent goes on without it.
type late struct {
	*kvtest.Client
	wire   *kvtest.Client // by which copies arrive, whatever became of the process
	mu     sync.Mutex
	rng    *rand.Rand
	copies sync.WaitGroup
}

func (l *late) chance(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n) == 0
}

func (l *late) again(f func()) {
	if !l.chance(2) {
		return
	}
	l.mu.Lock()
	d := time.Duration(l.rng.IntN(12000)) * time.Millisecond
	l.mu.Unlock()
	l.copies.Go(func() { time.Sleep(d); f() })
}

func (l *late) Commit(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	l.again(func() { _, _ = l.wire.Commit(context.Background(), t) })
	out, err := l.Client.Commit(ctx, t)
	if l.chance(4) {
		return kv.TxnResult{}, kv.ErrIndeterminate
	}
	return out, err
}

func (l *late) RenewLease(ctx context.Context, id ids.LeaseID) error {
	if l.chance(8) {
		l.again(func() { _ = l.wire.RenewLease(context.Background(), id) })
	}
	return l.Client.RenewLease(ctx, id)
}

func (l *late) RevokeLease(ctx context.Context, id ids.LeaseID) error {
	l.again(func() { _ = l.wire.RevokeLease(context.Background(), id) })
	if l.chance(3) {
		return kv.ErrIndeterminate // it never arrived
	}
	return l.Client.RevokeLease(ctx, id)
}

// Processes that are back within a fraction of a second, also in the middle of
// an election, while copies of what the earlier ones sent still arrive: claims,
// renewals, and leases given up. No two may hold the key, no revision may serve
// two terms, and when it all ends somebody leads.
func TestQuickRestartsWithLateCopies(t *testing.T) {
	terms := 0
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 5))
				s, w := kvtest.NewStore(), &watcher{holding: map[ids.ControllerName]*Term{}}
				w.stamps = map[ids.Revision]string{}
				names := []ids.ControllerName{"n0", "n1", "n2"}
				nodes := map[ids.ControllerName]*member{}
				inc := ids.ControllerIncarnation(0)
				var ways []*late
				start := func(n ids.ControllerName) {
					inc++
					l := &late{Client: newClient(s), wire: newClient(s), rng: rand.New(rand.NewPCG(seed, uint64(inc)))}
					ways = append(ways, l)
					nodes[n] = w.startOver(t, l.Client, l, n, inc)
				}
				for _, n := range names {
					start(n)
				}
				for range 60 {
					time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
					n := names[rng.IntN(3)]
					if lead, _ := w.leader(); lead != "" && rng.IntN(2) == 0 {
						n = lead
					}
					if rng.IntN(4) == 0 { // the state service refuses it alone
						m := nodes[n]
						m.c.Refuse()
						time.Sleep(time.Duration(rng.IntN(9000)) * time.Millisecond)
						m.c.Accept()
						continue
					}
					// Killed: it no longer holds anything, and sends nothing more.
					w.kill(n, nodes[n])
					time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
					start(n)
				}
				time.Sleep(10 * time.Second)
				if lead, _ := w.leader(); lead == "" {
					t.Error("nobody leads")
				}
				for n, m := range nodes {
					w.kill(n, m)
				}
				for _, l := range ways {
					l.copies.Wait()
				}
				if len(w.clashes) > 0 {
					t.Errorf("%v", w.clashes)
				}
				terms += len(w.stamps)
			})
		})
	}
	if terms < 100 {
		t.Errorf("only %d terms: too little was tried", terms)
	}
}
