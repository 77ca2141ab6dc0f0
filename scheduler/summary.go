package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"ospreystile.example/ospreystile/scheduler/placement"
)

// Summary is one line about the state of things, for the log.
func (c *Core) Summary() string {
	var b strings.Builder
	var pend, act, up, boot, starving int
	for _, j := range c.jobs {
		if j.ready && !j.terminal() && c.starving(j) {
			starving++
		}
		pend += len(j.pending)
		act += len(j.active)
	}
	for _, m := range c.registry.machineList {
		if c.health.usable(m) {
			up++
		} else if !m.reported {
			boot++
		}
	}
	fmt.Fprintf(&b, "jobs=%d waiting=%d starving=%d placed=%d machines=%d usable=%d booting=%d",
		len(c.jobs), pend, starving, act, len(c.registry.machineList), up, boot)
	for i, name := range []string{stopNone: "lost", stopCancelled: "withdrawn", stopPreempted: "preempted", stopDrained: "drained"} {
		fmt.Fprintf(&b, " %s=%d/%.0f", name, c.lostWork[i].tasks, c.lostWork[i].cpuS)
	}
	for _, t := range c.opt.Teams {
		fmt.Fprintf(&b, " %s=%.0f", t.Name, c.quotas.Used(t.Name).CPUs)
	}
	for _, zone := range slices.Sorted(maps.Keys(c.health.zoneStates)) {
		if c.health.zonePartitioned(zone) {
			fmt.Fprintf(&b, " cut-off=%s", zone)
		}
	}
	for _, why := range slices.Sorted(maps.Keys(c.registry.returnCounts)) {
		fmt.Fprintf(&b, " returned-%s=%d", why, c.registry.returnCounts[why])
	}
	// By type and kind: machines, those without a task, and the part of their
	// CPUs in use.
	type held struct {
		count, idle int
		used, total float64
	}
	kinds := map[placement.Site]*held{}
	for _, m := range c.registry.machineList {
		k := placement.Site{Type: m.Type, Spot: m.Spot}
		if kinds[k] == nil {
			kinds[k] = &held{}
		}
		h := kinds[k]
		h.count++
		if len(m.tasks) == 0 {
			h.idle++
		}
		h.used += m.used.CPUs
		h.total += m.total.CPUs
	}
	for _, k := range slices.SortedFunc(maps.Keys(kinds), placement.Site.Compare) {
		kind, h := "", kinds[k]
		if k.Spot {
			kind = "/spot"
		}
		fmt.Fprintf(&b, " %s%s=%d/%d/%.2f", k.Type, kind, h.count, h.idle, h.used/max(1, h.total))
	}
	return b.String()
}
