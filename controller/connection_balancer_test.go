package controller

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Workers that connect to another controller during a restart do not return by themselves, so in the
// end one controller would serve all workers. The workers must be redirected one at a time, and no more
// of them than necessary.
func TestOverloadedControllerRedirectsWorkers(t *testing.T) {
	at := func(s float64) monotonic.Instant { return monotonic.Instant(time.Hour).Add(monotonic.Seconds(s)) }
	names := []ids.ControllerName{"n-0", "n-1", "n-2"}
	workers := map[ids.ControllerName]int{"n-0": 900, "n-1": 0, "n-2": 0}
	weight := map[ids.ControllerName]float64{"n-0": leaderWeight, "n-1": followerWeight, "n-2": followerWeight}
	var balancers [3]connectionBalancer
	redirects := 0
	for step := range 4000 {
		before := redirects
		for i, name := range names {
			var others []controllerLoad
			for _, o := range names {
				if o != name {
					others = append(others, controllerLoad{o, workers[o], weight[o]})
				}
			}
			if to, ok := balancers[i].chooseTarget(controllerLoad{name, workers[name], weight[name]}, others, at(float64(step)*0.05)); ok {
				workers[name]--
				workers[to]++
				redirects++
			}
		}
		if redirects > before+len(names) {
			t.Fatal("too many workers were redirected in one step")
		}
	}
	if workers["n-0"] > 250 || workers["n-1"] < 300 || workers["n-2"] < 300 || redirects > 700 {
		t.Fatalf("workers per controller after %d redirects: %v", redirects, workers)
	}
	if _, ok := balancers[0].chooseTarget(controllerLoad{"n-0", 900, 1}, nil, at(1000)); ok {
		t.Error("redirected a worker although no other controller follows the leader")
	}
}
