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

// startThree starts three candidates and waits for the first election.
func startThree(t *testing.T, c *cluster) map[ids.ControllerName]*candidate {
	t.Helper()
	candidates := map[ids.ControllerName]*candidate{}
	for _, name := range []ids.ControllerName{"n0", "n1", "n2"} {
		candidates[name] = c.start(t, name, 1)
	}
	time.Sleep(2 * time.Second)
	return candidates
}

func TestAllControllersFollowTheElectedLeader(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		candidates := startThree(t, c)
		elected, _ := c.mustLead(t)
		for name, candidate := range candidates {
			if leader, ok := candidate.election.Leader(); !ok || leader.Name != elected {
				t.Errorf("%s follows %q, the leader is %s", name, leader.Name, elected)
			}
		}
	})
}

// In a store outage no other controller can be elected. The leader keeps its term.
func TestLeaderKeepsItsTermInStoreOutage(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		startThree(t, c)
		leader, term := c.mustLead(t)
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

// A leader that loses the store alone, and then one that stops, are replaced. The first does
// not get in the way when it reaches the store again.
func TestLostLeadersAreReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		candidates := startThree(t, c)
		first, firstTerm := c.mustLead(t)
		c.store.StartOutage()
		time.Sleep(10 * time.Second)
		c.store.EndOutage()
		time.Sleep(time.Second)

		candidates[first].client.Refuse()
		time.Sleep(5 * time.Second)
		second, secondTerm := c.mustLead(t)
		if second == first || secondTerm.Revision <= firstTerm.Revision {
			t.Fatalf("%s leads at revision %d after %s lost the store at revision %d",
				second, secondTerm.Revision, first, firstTerm.Revision)
		}
		candidates[first].client.Accept()

		candidates[second].stop()
		time.Sleep(6 * time.Second)
		if third, _ := c.mustLead(t); third == second {
			t.Fatalf("%s leads after it was stopped", third)
		}
	})
}

// A process that finds an earlier process of its own controller in the key replaces it
// without waiting for its lease to expire.
func TestEarlierProcessIsReplacedAtOnce(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		const earlierRevision = 4
		c.store.Advance(earlierRevision - 1)
		c.store.PutWithLease(records.LeaderKey, Identity{Name: "n0", Incarnation: 1}, time.Hour)

		c.start(t, "n0", 2)
		time.Sleep(time.Second)
		if leader, term := c.mustLead(t); leader != "n0" || term.Revision <= earlierRevision {
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

// A candidate whose commit has an indeterminate result does not lead by it. It revokes the
// lease, and can be elected before that would have expired.
func TestKeyOfIndeterminateCommitIsReleased(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		const lostRevision = 1
		client := newClient(c.store)
		c.startWith(t, Identity{Name: "n0", Incarnation: 1}, client, &firstCommitIndeterminate{Client: client})
		time.Sleep(testTTL / 3)
		if _, term := c.mustLead(t); term.Revision <= lostRevision {
			t.Errorf("leads at revision %d, whose commit gave no answer", term.Revision)
		}
	})
}
