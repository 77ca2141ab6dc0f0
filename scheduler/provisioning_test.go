package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/fleet"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

var testSite = placement.Site{Type: "m", Zone: "a"}

// fixedLimit is the number of machines that may be provisioned in any zone.
type fixedLimit int

func (l fixedLimit) limitProvisioning(_ ids.Zone, count int) int { return min(count, int(l)) }

// newTestProvisioner returns a provisioner for a cluster without machines. Each request may
// provision at most allowed machines in a zone.
func newTestProvisioner(t *testing.T, allowed int) *provisioner {
	t.Helper()
	now, rounds := clock.New(0), &clock.RoundTrigger{}
	now.Begin(1)
	state := cluster.NewState(cluster.Settings{SliceTasks: 4, BootFactor: 4}, now, rounds, quota.NewTracker(nil))
	state.SetCatalog([]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, BootS: 10, Zones: []ids.Zone{"a"}}})
	return newProvisionerWithLimit(state, now, rounds, fixedLimit(allowed))
}

// newProvisionerWithLimit returns the provisioner of an autoscaler to which no other policy is
// connected. limit limits the machines in each zone.
func newProvisionerWithLimit(state *cluster.State, now *clock.Clock, rounds *clock.RoundTrigger, limit provisioningLimiter) *provisioner {
	settings := autoscalerSettings{revision: 7, capacityBackoff: 10 * time.Second}
	p := newAutoscaler(settings, state, now, rounds).provisioner
	p.zones = limit
	return p
}

// requestedCounts requests machines and returns the sizes of the requests.
func requestedCounts(p *provisioner, machines int) []int {
	p.request(fleet.MachineRequest{Site: testSite, Count: machines})
	var counts []int
	for _, r := range p.takeDecisions() {
		counts = append(counts, r.Count)
	}
	return counts
}

// Requests for machines must not exceed the protocol's limit per request, the limit of requests in
// flight per site and the limit of the zone. After a refusal, only one request may be in flight.
func TestProvisioningRequestSizes(t *testing.T) {
	for _, c := range []struct {
		name    string
		wanted  int
		allowed int
		refused bool // whether the previous request is refused
		want    []int
	}{
		{name: "one request", wanted: 7, allowed: 1000, want: []int{7}},
		{name: "split at the protocol's limit", wanted: 120, allowed: 1000, want: []int{50, 50, 20}},
		{name: "no more in flight than a site may have", wanted: 1000, allowed: 1000, want: []int{50, 50, 50}},
		{name: "one in flight after a refusal", wanted: 120, allowed: 1000, refused: true, want: []int{50}},
		{name: "limited by the zone", wanted: 7, allowed: 3, want: []int{3}},
		{name: "no request where the zone allows none", wanted: 7, allowed: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestProvisioner(t, c.allowed)
			if c.refused {
				p.send(testSite, 1)
				p.refused(p.takeDecisions()[0])
			}
			if got := requestedCounts(p, c.wanted); fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("requested %v machines, want %v", got, c.want)
			}
		})
	}
}

// The result of a request must end it and add its machines to the cluster. The site must back off
// if the cloud provisioned fewer machines than requested.
func TestProvisioningResults(t *testing.T) {
	for _, c := range []struct {
		name     string
		finish   func(*provisioner, wire.ProvisionRequest)
		machines int
		backsOff bool
	}{
		{"granted", func(p *provisioner, r wire.ProvisionRequest) { p.granted(r, []ids.MachineID{"n-1", "n-2"}) }, 2, false},
		{"granted in part", func(p *provisioner, r wire.ProvisionRequest) { p.granted(r, []ids.MachineID{"n-1"}) }, 1, true},
		{"refused", (*provisioner).refused, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestProvisioner(t, 1000)
			p.send(testSite, 2)
			if got := p.bootingByZone()["a"]; got != 2 {
				t.Errorf("%d machines are booting or requested while the request is in flight, want 2", got)
			}
			c.finish(p, p.takeDecisions()[0])
			if got := len(p.cluster.Machines()); got != c.machines {
				t.Errorf("%d machines are in the cluster, want %d", got, c.machines)
			}
			if got := p.bootingByZone()["a"]; got != c.machines {
				t.Errorf("%d machines are booting or requested after the result, want %d", got, c.machines)
			}
			if got := p.backsOff(testSite); got != c.backsOff {
				t.Errorf("the site backs off: %v, want %v", got, c.backsOff)
			}
		})
	}
}

// A zone counts as refused only if every machine type in it backs off, both as a spot instance and
// as an on-demand instance.
func TestZoneIsRefusedWhenAllItsSitesBackOff(t *testing.T) {
	p := newTestProvisioner(t, 1000)
	for _, spot := range []bool{false, true} {
		if p.zoneRefused("a") {
			t.Errorf("the zone counts as refused before the request with spot %v is refused", spot)
		}
		p.send(placement.Site{Type: "m", Zone: "a", Spot: spot}, 1)
		p.refused(p.takeDecisions()[0])
	}
	if !p.zoneRefused("a") {
		t.Error("the zone does not count as refused although all its sites back off")
	}
	if p.zoneRefused("elsewhere") {
		t.Error("a zone without any type counts as refused")
	}
}

// The result of a request that arrives after one of its machines was removed must not add this
// machine to the cluster again.
func TestLateGrantDoesNotAddARemovedMachine(t *testing.T) {
	p := newTestProvisioner(t, 1000)
	p.cluster.RemoveMachine(p.cluster.EnsureMachine("n-1"))
	p.send(testSite, 1)
	p.granted(p.takeDecisions()[0], []ids.MachineID{"n-1"})
	if p.cluster.Machine("n-1") != nil {
		t.Error("the removed machine is in the cluster again")
	}
}
