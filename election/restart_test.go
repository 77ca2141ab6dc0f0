package election

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/kv"
)

// lateClient is a client whose requests may arrive a second time, long after, and whose
// responses may be lost. Copies arrive also after the process that sent them has ended.
type lateClient struct {
	*kvtest.Client
	copyClient *kvtest.Client
	copies     sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
}

// oneIn reports true with a probability of 1/n.
func (l *lateClient) oneIn(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n) == 0
}

// maybeRepeat sends a copy of a request after up to 12 s, with a probability of 1/2.
func (l *lateClient) maybeRepeat(request func()) {
	if !l.oneIn(2) {
		return
	}
	l.mu.Lock()
	delay := time.Duration(l.rng.IntN(12000)) * time.Millisecond
	l.mu.Unlock()
	l.copies.Go(func() {
		time.Sleep(delay)
		request()
	})
}

func (l *lateClient) Commit(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	l.maybeRepeat(func() { _, _ = l.copyClient.Commit(context.Background(), t) })
	result, err := l.Client.Commit(ctx, t)
	if l.oneIn(4) {
		return kv.TxnResult{}, kv.ErrIndeterminate
	}
	return result, err
}

func (l *lateClient) RenewLease(ctx context.Context, id ids.LeaseID) error {
	if l.oneIn(8) {
		l.maybeRepeat(func() { _ = l.copyClient.RenewLease(context.Background(), id) })
	}
	return l.Client.RenewLease(ctx, id)
}

func (l *lateClient) RevokeLease(ctx context.Context, id ids.LeaseID) error {
	l.maybeRepeat(func() { _ = l.copyClient.RevokeLease(context.Background(), id) })
	if l.oneIn(3) {
		return kv.ErrIndeterminate // the request never arrived
	}
	return l.Client.RevokeLease(ctx, id)
}

// restartTrial disturbs a cluster at random.
type restartTrial struct {
	cluster     *cluster
	seed        uint64
	rng         *rand.Rand
	names       []ids.ControllerName
	candidates  map[ids.ControllerName]*candidate
	clients     []*lateClient
	incarnation ids.ControllerIncarnation // of the process started last
}

func startRestartTrial(t *testing.T, c *cluster, seed uint64) *restartTrial {
	t.Helper()
	r := &restartTrial{
		cluster:    c,
		seed:       seed,
		rng:        rand.New(rand.NewPCG(seed, 5)),
		names:      []ids.ControllerName{"n0", "n1", "n2"},
		candidates: map[ids.ControllerName]*candidate{},
	}
	for _, name := range r.names {
		r.start(t, name)
	}
	return r
}

func (r *restartTrial) start(t *testing.T, name ids.ControllerName) {
	t.Helper()
	r.incarnation++
	late := &lateClient{
		Client:     newClient(r.cluster.store),
		copyClient: newClient(r.cluster.store),
		rng:        rand.New(rand.NewPCG(r.seed, uint64(r.incarnation))),
	}
	r.clients = append(r.clients, late)
	self := Identity{Name: name, Incarnation: r.incarnation}
	r.candidates[name] = r.cluster.startWith(t, self, late.Client, late)
}

// sleepUpTo waits for a random number of milliseconds below the limit.
func (r *restartTrial) sleepUpTo(limitMillis int) {
	time.Sleep(time.Duration(r.rng.IntN(limitMillis)) * time.Millisecond)
}

// disturb waits a little, and then lets the store refuse one candidate for a time, or kills
// one and starts it again. It prefers the leader.
func (r *restartTrial) disturb(t *testing.T) {
	t.Helper()
	r.sleepUpTo(900)
	name := r.names[r.rng.IntN(len(r.names))]
	if leader, _ := r.cluster.leader(); leader != "" && r.rng.IntN(2) == 0 {
		name = leader
	}
	disturbed := r.candidates[name]
	if r.rng.IntN(4) == 0 {
		disturbed.client.Refuse()
		r.sleepUpTo(9000)
		disturbed.client.Accept()
		return
	}
	disturbed.kill()
	r.sleepUpTo(300)
	r.start(t, name)
}

// stop kills all candidates and waits for the copies of their requests.
func (r *restartTrial) stop() {
	for _, candidate := range r.candidates {
		candidate.kill()
	}
	for _, late := range r.clients {
		late.copies.Wait()
	}
}

// Processes restart within a fraction of a second, also during an election, while copies of
// what the earlier ones sent still arrive: commits, renewals and revocations. The cluster
// checks that no two hold the lease, and that no revision serves two terms.
func TestQuickRestartsWithLateCopies(t *testing.T) {
	terms := 0
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				trial := startRestartTrial(t, c, seed)
				for range 60 {
					trial.disturb(t)
				}
				time.Sleep(10 * time.Second)
				if leader, _ := c.leader(); leader == "" {
					t.Error("no candidate leads after the disturbances")
				}
				trial.stop()
				terms += c.termCount()
			})
		})
	}
	if terms < 100 {
		t.Errorf("only %d terms: the trials show too little", terms)
	}
}
