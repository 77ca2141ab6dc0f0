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

// duplicatingClient is a client whose requests may arrive a second time much later, and whose
// responses may be lost. Duplicates also arrive after the process that sent them has ended.
type duplicatingClient struct {
	*kvtest.Client
	duplicateClient *kvtest.Client
	duplicates      sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
}

// oneIn returns true with a probability of 1/n.
func (d *duplicatingClient) oneIn(n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n) == 0
}

// maybeDuplicate sends a duplicate of a request with a probability of 1/2, after up to 12 s.
func (d *duplicatingClient) maybeDuplicate(request func()) {
	if !d.oneIn(2) {
		return
	}
	d.mu.Lock()
	delay := time.Duration(d.rng.IntN(12000)) * time.Millisecond
	d.mu.Unlock()
	d.duplicates.Go(func() {
		time.Sleep(delay)
		request()
	})
}

func (d *duplicatingClient) Commit(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	d.maybeDuplicate(func() { _, _ = d.duplicateClient.Commit(context.Background(), t) })
	result, err := d.Client.Commit(ctx, t)
	if d.oneIn(4) {
		return kv.TxnResult{}, kv.ErrIndeterminate
	}
	return result, err
}

func (d *duplicatingClient) RenewLease(ctx context.Context, id ids.LeaseID) error {
	if d.oneIn(8) {
		d.maybeDuplicate(func() { _ = d.duplicateClient.RenewLease(context.Background(), id) })
	}
	return d.Client.RenewLease(ctx, id)
}

func (d *duplicatingClient) RevokeLease(ctx context.Context, id ids.LeaseID) error {
	d.maybeDuplicate(func() { _ = d.duplicateClient.RevokeLease(context.Background(), id) })
	if d.oneIn(3) {
		return kv.ErrIndeterminate // the request never arrived
	}
	return d.Client.RevokeLease(ctx, id)
}

// restartTrial injects random faults into a cluster.
type restartTrial struct {
	cluster     *cluster
	seed        uint64
	rng         *rand.Rand
	names       []ids.ControllerName
	candidates  map[ids.ControllerName]*candidate
	clients     []*duplicatingClient
	incarnation ids.ControllerIncarnation // of the most recently started process
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
	client := &duplicatingClient{
		Client:          newClient(r.cluster.store),
		duplicateClient: newClient(r.cluster.store),
		rng:             rand.New(rand.NewPCG(r.seed, uint64(r.incarnation))),
	}
	r.clients = append(r.clients, client)
	self := Identity{Name: name, Incarnation: r.incarnation}
	r.candidates[name] = r.cluster.startWith(t, self, client.Client, client)
}

// sleepUpTo waits for a random number of milliseconds below the limit.
func (r *restartTrial) sleepUpTo(limitMillis int) {
	time.Sleep(time.Duration(r.rng.IntN(limitMillis)) * time.Millisecond)
}

// injectFault waits for a random time, and then has the store refuse one candidate's requests for
// a while, or kills and restarts one. It prefers the leader.
func (r *restartTrial) injectFault(t *testing.T) {
	t.Helper()
	r.sleepUpTo(900)
	name := r.names[r.rng.IntN(len(r.names))]
	if leader, _ := r.cluster.leader(); leader != "" && r.rng.IntN(2) == 0 {
		name = leader
	}
	target := r.candidates[name]
	if r.rng.IntN(4) == 0 {
		target.client.RefuseRequests()
		r.sleepUpTo(9000)
		target.client.AcceptRequests()
		return
	}
	target.kill()
	r.sleepUpTo(300)
	r.start(t, name)
}

// stop kills all candidates and waits for the duplicates of their requests.
func (r *restartTrial) stop() {
	for _, candidate := range r.candidates {
		candidate.kill()
	}
	for _, client := range r.clients {
		client.duplicates.Wait()
	}
}

// Processes restart within a fraction of a second, even during an election, while duplicates of
// commits, renewals and revocations of their earlier processes still arrive. Such a duplicate must
// not give two candidates the lease, nor one revision to two terms, which the cluster checks.
func TestQuickRestartsWithDelayedDuplicates(t *testing.T) {
	terms := 0
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				trial := startRestartTrial(t, c, seed)
				for range 60 {
					trial.injectFault(t)
				}
				time.Sleep(10 * time.Second)
				if leader, _ := c.leader(); leader == "" {
					t.Error("no candidate leads after the last fault")
				}
				trial.stop()
				terms += c.termCount()
			})
		})
	}
	if terms < 100 {
		t.Errorf("only %d terms, want at least 100 for a meaningful result", terms)
	}
}
