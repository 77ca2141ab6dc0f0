package controller

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// After a restart a controller's workers would stay where they went, until all were at one
// controller. They are sent back, one at a time, and no more than needed.
func TestWorkersSpreadOverControllers(t *testing.T) {
	at := func(s float64) monotonic.Instant { return monotonic.Instant(time.Hour).Add(monotonic.Seconds(s)) }
	names := []ids.ControllerName{"n-0", "n-1", "n-2"}
	have := map[ids.ControllerName]int{"n-0": 900, "n-1": 0, "n-2": 0}
	weight := map[ids.ControllerName]float64{"n-0": leaderWeight, "n-1": followerWeight, "n-2": followerWeight}
	var balancers [3]connectionBalancer
	moves := 0
	for step := range 4000 {
		before := moves
		for i, name := range names {
			var others []controllerLoad
			for _, o := range names {
				if o != name {
					others = append(others, controllerLoad{o, have[o], weight[o]})
				}
			}
			if to, ok := balancers[i].chooseTarget(controllerLoad{name, have[name], weight[name]}, others, at(float64(step)*0.05)); ok {
				have[name]--
				have[to]++
				moves++
			}
		}
		if moves > before+len(names) {
			t.Fatal("all workers were moved at once")
		}
	}
	if have["n-0"] > 250 || have["n-1"] < 300 || have["n-2"] < 300 || moves > 700 {
		t.Fatalf("after %d moves: %v", moves, have)
	}
	if _, ok := balancers[0].chooseTarget(controllerLoad{"n-0", 900, 1}, nil, at(1000)); ok {
		t.Error("moved although no other controller follows the leader")
	}
}
