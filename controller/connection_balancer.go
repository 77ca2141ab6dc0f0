package controller

import (
	"sync"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

const (
	// redirectInterval is the minimum interval between two redirects of workers. Redirecting all
	// workers simultaneously would overload the next controller.
	redirectInterval = 100 * time.Millisecond
	// overloadRatio and overloadMargin bound the number of workers that a controller accepts
	// without redirecting any: its share times overloadRatio, plus overloadMargin.
	overloadRatio  = 1.2
	overloadMargin = 16
	// followerWeight and leaderWeight are the relative shares of workers. The leader's share is
	// smaller, since it also answers the heartbeats that the other controllers relay.
	followerWeight = 1
	leaderWeight   = 0.5
	// balancerWindowIntervals is the number of heartbeat intervals for which a worker is counted
	// after a heartbeat.
	balancerWindowIntervals = 2
)

// connectionBalancer counts the workers that send heartbeats to this controller, and redirects some of
// them to other controllers if there are too many. The redirects are necessary because workers whose
// controller restarts connect to another one, and do not return by themselves. connectionBalancer is
// safe for concurrent use.
type connectionBalancer struct {
	// window is the time for which a worker is counted after a heartbeat.
	window time.Duration
	// count is the number of workers at the last recount.
	count atomic.Int32

	// mu guards the fields below.
	mu sync.Mutex
	// lastHeartbeat holds the time of each worker's last heartbeat to this controller.
	lastHeartbeat map[ids.MachineID]monotonic.Instant
	// redirectedAt is the time of the last redirect of any worker.
	redirectedAt monotonic.Instant
}

func newConnectionBalancer(window time.Duration) *connectionBalancer {
	return &connectionBalancer{window: window, lastHeartbeat: map[ids.MachineID]monotonic.Instant{}}
}

// recordHeartbeat records that a worker sent a heartbeat to this controller.
func (b *connectionBalancer) recordHeartbeat(machine ids.MachineID, now monotonic.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastHeartbeat[machine] = now
}

// recount updates the number of workers, and deletes the workers without a heartbeat within the window.
func (b *connectionBalancer) recount(now monotonic.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for machine, at := range b.lastHeartbeat {
		if now > at.Add(b.window) {
			delete(b.lastHeartbeat, machine)
		}
	}
	b.count.Store(int32(len(b.lastHeartbeat)))
}

// lastCount returns the number of workers at the last recount.
func (b *connectionBalancer) lastCount() int { return int(b.count.Load()) }

// controllerLoad holds the number of a controller's workers and its relative share of all workers.
type controllerLoad struct {
	name    ids.ControllerName
	workers int
	weight  float64
}

// chooseTarget returns the controller to which a worker should be redirected, and records the redirect.
// ok is false if the worker should not be redirected.
func (b *connectionBalancer) chooseTarget(self controllerLoad, others []controllerLoad, now monotonic.Instant) (target ids.ControllerName, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.redirectedAt.Add(redirectInterval) || len(others) == 0 {
		return "", false
	}
	share := workersPerWeight(self, others)
	if float64(self.workers) <= overloadRatio*share*self.weight+overloadMargin {
		return "", false
	}
	largestCapacity := 0.0
	for _, other := range others {
		if capacity := share*other.weight - float64(other.workers); capacity > largestCapacity {
			target, largestCapacity = other.name, capacity
		}
	}
	if target == "" {
		return "", false
	}
	b.redirectedAt = now
	return target, true
}

// workersPerWeight returns the number of workers that a controller of weight 1 should have.
func workersPerWeight(self controllerLoad, others []controllerLoad) float64 {
	workers, weights := float64(self.workers), self.weight
	for _, other := range others {
		workers += float64(other.workers)
		weights += other.weight
	}
	return workers / weights
}
