package controller

import (
	"sync"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

const (
	// redirectInterval is the least time between two redirects of workers. Redirecting all at
	// once would only overload the next controller.
	redirectInterval = 100 * time.Millisecond
	// overloadRatio and overloadReserve are by how much a controller's workers may exceed its
	// share before it redirects some.
	overloadRatio  = 1.2
	overloadMargin = 16
	// followerWeight and leaderWeight are the relative shares of workers. The leader gets fewer,
	// since it also decides for the workers of all others.
	followerWeight = 1
	leaderWeight   = 0.5
	// balancerWindowIntervals is for how many heartbeat intervals after a heartbeat a worker
	// counts as one of the controller's.
	balancerWindowIntervals = 2
)

// connectionBalancer counts the workers that send heartbeats to this controller, and redirects
// some to other controllers if they are too many: workers that connected elsewhere during a
// restart would stay there. It is safe for concurrent use.
type connectionBalancer struct {
	// window is for how long after a heartbeat a worker is counted.
	window time.Duration
	// count is the number of workers as last counted.
	count atomic.Int32

	// mu guards the fields below.
	mu sync.Mutex
	// lastHeartbeat is when each worker last sent a heartbeat here.
	lastHeartbeat map[ids.MachineID]monotonic.Instant
	// redirectedAt is when a worker was last redirected.
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

// recount counts the workers whose heartbeats are recent, and forgets the others.
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

// lastCount returns the number of workers as of the last recount.
func (b *connectionBalancer) lastCount() int { return int(b.count.Load()) }

// controllerLoad is how many workers a controller has, and its relative share of workers.
type controllerLoad struct {
	name    ids.ControllerName
	workers int
	weight  float64
}

// chooseTarget returns the controller to which a worker should be redirected; ok is false if it
// should stay.
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

// workersPerWeight returns how many workers a controller of weight 1 should have.
func workersPerWeight(self controllerLoad, others []controllerLoad) float64 {
	workers, weights := float64(self.workers), self.weight
	for _, other := range others {
		workers += float64(other.workers)
		weights += other.weight
	}
	return workers / weights
}
