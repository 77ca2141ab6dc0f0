package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
)

// Summary returns a one-line summary of the state of the core, for the log.
func (c *Core) Summary() string {
	var b strings.Builder
	c.summarizeJobs(&b)
	for i, name := range []string{cluster.StopNone: "lost", cluster.StopCancelled: "cancelled", cluster.StopPreempted: "preempted", cluster.StopDrained: "drained"} {
		fmt.Fprintf(&b, " %s=%d/%.0f", name, c.lifecycle.lostWork[i].tasks, c.lifecycle.lostWork[i].cpuS)
	}
	for _, t := range c.opt.Teams {
		fmt.Fprintf(&b, " %s=%.0f", t.Name, c.quotas.Used(t.Name).CPUs)
	}
	for _, zone := range c.health.partitionedZones() {
		fmt.Fprintf(&b, " partitioned=%s", zone)
	}
	c.zones.summarize(&b)
	for _, reason := range slices.Sorted(maps.Keys(c.registry.terminateCounts)) {
		fmt.Fprintf(&b, " returned-%s=%d", reason, c.registry.terminateCounts[reason])
	}
	if c.heartbeats.restarts.restarts > 0 {
		fmt.Fprintf(&b, " agents-restarted=%d", c.heartbeats.restarts.restarts)
	}
	c.summarizeMachines(&b)
	return b.String()
}

// summarizeJobs writes the numbers of jobs and starving jobs, of waiting and placed tasks, and of all,
// usable and booting machines.
func (c *Core) summarizeJobs(b *strings.Builder) {
	var pending, placed, usable, booting, starving int
	for _, j := range c.cluster.Jobs() {
		if j.Queue.Ready && !j.Terminal() && c.queue.starving(j) {
			starving++
		}
		pending += len(j.Pending())
		placed += len(j.Active())
	}
	for _, m := range c.cluster.Machines() {
		if c.health.usable(m) {
			usable++
		} else if !m.Agent.HeartbeatThisTerm {
			booting++
		}
	}
	fmt.Fprintf(b, "jobs=%d waiting=%d starving=%d placed=%d machines=%d usable=%d booting=%d",
		len(c.cluster.Jobs()), pending, starving, placed, len(c.cluster.Machines()), usable, booting)
}

// summarizeMachines writes, by machine type and market, the number of machines, the number of machines
// without tasks, and the fraction of their CPUs that is in use.
func (c *Core) summarizeMachines(b *strings.Builder) {
	type tally struct {
		count, idle int
		used, total float64
	}
	kinds := map[placement.Site]*tally{}
	for _, m := range c.cluster.Machines() {
		kind := placement.Site{Type: m.Type(), Spot: m.Spot()}
		if kinds[kind] == nil {
			kinds[kind] = &tally{}
		}
		tallied := kinds[kind]
		tallied.count++
		if len(m.Assignments()) == 0 {
			tallied.idle++
		}
		tallied.used += m.Used().CPUs
		tallied.total += m.Total().CPUs
	}
	for _, kind := range slices.SortedFunc(maps.Keys(kinds), placement.Site.Compare) {
		suffix, tallied := "", kinds[kind]
		if kind.Spot {
			suffix = "/spot"
		}
		fmt.Fprintf(b, " %s%s=%d/%d/%.2f", kind.Type, suffix, tallied.count, tallied.idle, tallied.used/max(1, tallied.total))
	}
}
