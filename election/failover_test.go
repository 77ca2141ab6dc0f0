package election

import (
	"context"
	"sync"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
)

// startThreeCandidates starts three candidates and waits for the first election.
func startThreeCandidates(t *testing.T, c *cluster) map[ids.ControllerName]*candidate {
	t.Helper()
	candidates := map[ids.ControllerName]*candidate{}
	for _, name := range []ids.ControllerName{"n0", "n1", "n2"} {
		candidates[name] = c.start(t, name, 1)
	}
	time.Sleep(2 * time.Second)
	return candidates
}

// A controller that does not follow the elected leader cannot forward requests to it.
func TestAllControllersFollowTheElectedLeader(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		candidates := startThreeCandidates(t, c)
		elected, _ := c.mustLeader(t)
		for name, candidate := range candidates {
			if leader, ok := candidate.election.Leader(); !ok || leader.Name != elected {
				t.Errorf("%s follows %q, the leader is %s", name, leader.Name, elected)
			}
		}
	})
}

// In a store outage no other controller can be elected. If the leader ended its term, workers would
// lose their heartbeat responses. It must keep the term within the outage grace.
func TestLeaderKeepsItsTermInStoreOutage(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		startThreeCandidates(t, c)
		leader, term := c.mustLeader(t)
		c.store.StartOutage()
		time.Sleep(10 * time.Second)
		if term.HoldsLease() {
			t.Error("the lease is valid without the store")
		}
		if !term.MayAnswerHeartbeats() {
			t.Error("heartbeats are not answered within the outage grace")
		}
		c.store.EndOutage()
		time.Sleep(time.Second)
		if after, again := c.leader(); after != leader || again != term {
			t.Errorf("%q leads after the outage, %s before", after, leader)
		}
	})
}

// A leader that alone loses access to the store must be replaced, and so must one that stops. The
// first one must not disturb its successor after it regains access to the store.
func TestFailedLeadersAreReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		candidates := startThreeCandidates(t, c)
		first, firstTerm := c.mustLeader(t)
		c.store.StartOutage()
		time.Sleep(10 * time.Second)
		c.store.EndOutage()
		time.Sleep(time.Second)

		candidates[first].client.RefuseRequests()
		time.Sleep(5 * time.Second)
		second, secondTerm := c.mustLeader(t)
		if second == first || secondTerm.Revision <= firstTerm.Revision {
			t.Fatalf("%s leads at revision %d after %s lost the store at revision %d",
				second, secondTerm.Revision, first, firstTerm.Revision)
		}
		candidates[first].client.AcceptRequests()

		candidates[second].stop()
		time.Sleep(6 * time.Second)
		if third, _ := c.mustLeader(t); third == second {
			t.Fatalf("%s leads after it was stopped", third)
		}
	})
}

// After a quick restart, the leader key still names the previous process of the controller. The new
// process must replace it without waiting for the lease to expire.
func TestEarlierProcessIsReplacedImmediately(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		const earlierRevision = 4
		c.store.AdvanceRevision(earlierRevision - 1)
		c.store.PutWithLease(records.LeaderKey, Identity{Name: "n0", Incarnation: 1}, time.Hour)

		c.start(t, "n0", 2)
		time.Sleep(time.Second)
		if leader, term := c.mustLeader(t); leader != "n0" || term.Revision <= earlierRevision {
			t.Errorf("%s leads at revision %d", leader, term.Revision)
		}
	})
}

// firstCommitIndeterminate is a client that loses the response to its first commit.
type firstCommitIndeterminate struct {
	*kvtest.Client
	first sync.Once
}

func (f *firstCommitIndeterminate) Commit(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	result, err := f.Client.Commit(ctx, t)
	f.first.Do(func() { result, err = kv.TxnResult{}, kv.ErrIndeterminate })
	return result, err
}

// A candidate whose commit has an indeterminate result must not lead based on it. It must revoke
// the lease, since otherwise the key would prevent every election until the lease expires.
func TestKeyOfIndeterminateCommitIsReleased(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		const lostRevision = 1
		client := newClient(c.store)
		c.startWith(t, Identity{Name: "n0", Incarnation: 1}, client, &firstCommitIndeterminate{Client: client})
		time.Sleep(testTTL / 3)
		if _, term := c.mustLeader(t); term.Revision <= lostRevision {
			t.Errorf("leads at revision %d, whose commit received no response", term.Revision)
		}
	})
}
