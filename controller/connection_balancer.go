package controller

import (
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// connectionBalancer counts the workers that report here, and sends some to other nodes
// when they are too many: after a restart they would all stay where they went.
type connectionBalancer struct {
	mu      sync.Mutex
	seen    map[ids.MachineID]monotonic.Instant
	movedAt monotonic.Instant
}

const (
	// moveInterval paces the workers that are sent elsewhere. Moving all at once
	// would only overload the next node.
	moveInterval = 100 * time.Millisecond
	// balanceSlack is how many more than its share a node keeps.
	balanceSlack = 16
)

// reported takes note of a worker's report.
func (c *connectionBalancer) reported(h ids.MachineID, now monotonic.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[h] = now
}

// count is the number of workers heard within a time.
func (c *connectionBalancer) count(now monotonic.Instant, within time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h, at := range c.seen {
		if now > at.Add(within) {
			delete(c.seen, h)
		}
	}
	return len(c.seen)
}

// nodeLoad is how many workers a node has, and how many it should have for each one that
// another has.
type nodeLoad struct {
	name    ids.ControllerName
	workers int
	weight  float64
}

// chooseTarget tells where a worker should go, if this node has too many of them.
func (c *connectionBalancer) chooseTarget(self nodeLoad, others []nodeLoad, now monotonic.Instant) (ids.ControllerName, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now < c.movedAt.Add(moveInterval) || len(others) == 0 {
		return "", false
	}
	sum, weights := float64(self.workers), self.weight
	for _, o := range others {
		sum += float64(o.workers)
		weights += o.weight
	}
	share := sum / weights
	if float64(self.workers) <= 1.2*share*self.weight+balanceSlack {
		return "", false
	}
	best, room := ids.ControllerName(""), 0.0
	for _, o := range others {
		if r := share*o.weight - float64(o.workers); r > room {
			best, room = o.name, r
		}
	}
	if best == "" {
		return "", false
	}
	c.movedAt = now
	return best, true
}

// leaderWeight is how many workers the leader should have for each that
// another node has: it decides for all of them.
const leaderWeight = 0.5

// balancerWindow is how long a worker counts as one of a node's after a report.
func (n *Controller) balancerWindow() time.Duration {
	return monotonic.Seconds(2 * n.cfg.Settings.Workers.HeartbeatIntervalS)
}

// redirectTarget tells to which node a worker should go, if this one has too many.
func (n *Controller) redirectTarget(now monotonic.Instant, leading bool) (ids.ControllerName, bool) {
	weigh := func(leads bool) float64 {
		if leads {
			return leaderWeight
		}
		return 1
	}
	leader, _ := n.election.Leader()
	var others []nodeLoad
	for _, p := range n.peers {
		// Only nodes that can pass reports on to the same leader.
		if now < monotonic.Instant(p.lastHeard.Load()).Add(1500*time.Millisecond) && p.leaderRevision.Load() == uint64(leader.Revision) {
			others = append(others, nodeLoad{p.Name, int(p.workers.Load()), weigh(p.Name == leader.Name)})
		}
	}
	return n.balancer.chooseTarget(nodeLoad{n.cfg.HostName, int(n.workerCount.Load()), weigh(leading)}, others, now)
}
