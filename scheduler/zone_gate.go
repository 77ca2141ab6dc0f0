package scheduler

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// zoneGate connects the core with the state machines of zones that fall silent and return.
// It is nil where the operators did not turn that on: its methods then change nothing.
type zoneGate struct {
	core    *Core
	manager *zonerecovery.Manager
	view    zonerecovery.Connectivity
	// writes are the zones whose records are on their way, by change.
	writes map[uint64]zoneWrite
	// coming counts the machines on their way to each zone, as of comingAt.
	coming   map[ids.Zone]int
	comingAt monotonic.Instant
	// restoredAt is when moves back were last planned.
	restoredAt monotonic.Instant
}

// zoneWrite is a zone's record on its way to the state service.
type zoneWrite struct {
	zone    ids.Zone
	dropped bool
}

// newZoneGate makes the gate of a term; a nil policy turns it off.
func newZoneGate(c *Core, policy *zonerecovery.Policy) *zoneGate {
	if policy == nil {
		return nil
	}
	return &zoneGate{core: c, manager: zonerecovery.NewManager(policy), writes: map[uint64]zoneWrite{}}
}

// moment is the present time. Where the time of day is not known, the steady clock stands
// in: it serves to compare what one process wrote.
func (c *Core) moment() zonerecovery.ClockReading {
	wall := c.clock.WallMS()
	if wall == 0 {
		wall = time.Duration(c.clock.Now()).Milliseconds()
	}
	return zonerecovery.ClockReading{Now: c.clock.Now(), Wall: time.UnixMilli(wall)}
}

// LoadZone takes in the record of a zone that a predecessor left. It does nothing where
// zones are not watched.
func (c *Core) LoadZone(now monotonic.Instant, zone ids.Zone, record *zonerecovery.Record, revision ids.Revision) {
	if c.zones == nil {
		return
	}
	c.clock.Begin(now)
	c.zones.manager.Load(zone, record, revision, c.moment())
}

// LoadUnreadableZone takes note of a zone's record that makes no sense.
func (c *Core) LoadUnreadableZone(now monotonic.Instant, zone ids.Zone, revision ids.Revision) {
	if c.zones == nil {
		return
	}
	c.clock.Begin(now)
	c.zones.manager.LoadUnreadable(zone, revision, c.moment())
}

// ObserveConnectivity takes in what the leader knows of its own place among the controllers.
func (c *Core) ObserveConnectivity(view zonerecovery.Connectivity) {
	if c.zones != nil {
		c.zones.view = view
	}
}

// OverrideZone carries out an operator's decision. It returns a number that
// ZoneOverrideRecorded compares; ok is false where zones are not watched.
func (c *Core) OverrideZone(now monotonic.Instant, zone ids.Zone, o zonerecovery.Override) (number uint64, ok bool) {
	if c.zones == nil {
		return 0, false
	}
	c.clock.Set(now)
	c.rounds.MarkDue()
	return c.zones.manager.Override(zone, o, c.moment()), true
}

// ZoneOverrideRecorded tells whether an operator's decision is recorded.
func (c *Core) ZoneOverrideRecorded(zone ids.Zone, number uint64) bool {
	return c.zones != nil && c.zones.manager.RecordedOverride(zone) >= number
}

// ZoneStatus lists the zones for operators; nil where they are not watched.
func (c *Core) ZoneStatus(now monotonic.Instant) []zonerecovery.Status {
	if c.zones == nil {
		return nil
	}
	c.clock.Set(now)
	return c.zones.manager.Status(c.moment())
}

// summarize adds the zones that are not simply serving, and what their return has cost, to
// a line for the log.
func (g *zoneGate) summarize(b *strings.Builder) {
	if g == nil {
		return
	}
	for _, st := range g.manager.Status(g.core.moment()) {
		if st.Condition != zonerecovery.Serving || st.Override != zonerecovery.OverrideNone {
			fmt.Fprintf(b, " zone-%s=%s/%d/%s", st.Zone, st.Condition, st.Step, st.Override)
		}
	}
	if stats := g.manager.Stats(); stats.DisplacedTasks > 0 {
		fmt.Fprintf(b, " displaced=%d bounced=%d forced=%d", stats.DisplacedTasks, stats.Failbacks, stats.ForcedFailbacks)
	}
}

// begin counts what a predecessor placed as starts under way, until reports show it.
func (g *zoneGate) begin() {
	if g == nil {
		return
	}
	for _, m := range g.core.cluster.Machines() {
		if m.Zone() == "" {
			continue // by a record of an older version; its report tells
		}
		for _, a := range m.Assignments() {
			g.manager.TaskInherited(m.Zone(), g.startOf(a.Job, a.Index, m), g.core.clock.Now())
		}
	}
}

// observe hands the evidence of all zones to their state machines.
func (g *zoneGate) observe() {
	if g == nil {
		return
	}
	view := g.view
	view.ProcessResumed = g.core.clock.ResumedAt() != 0 && g.core.clock.Now() < g.core.clock.ResumedAt().Add(g.core.health.heartbeatTimeout())
	if g.manager.Observe(g.core.moment(), zonerecovery.Observation{Zones: g.evidence(), Connectivity: view}) {
		g.core.rounds.MarkDue()
	}
	g.core.decisions.ZoneEvents = append(g.core.decisions.ZoneEvents, g.manager.TakeTransitions()...)
}

// evidence counts the machines of each zone.
func (g *zoneGate) evidence() map[ids.Zone]zonerecovery.ZoneHealth {
	out := map[ids.Zone]zonerecovery.ZoneHealth{}
	for _, m := range g.core.cluster.Machines() {
		if m.Zone() == "" || m.Lifecycle.Terminating || !m.Agent.Reported && len(m.Assignments()) == 0 {
			continue
		}
		e := out[m.Zone()]
		e.Machines++
		silent := g.core.health.silentFor(m, g.core.health.heartbeatTimeout())
		switch {
		case silent:
			e.Unreachable++
		case m.Agent.Reported:
			e.Reachable++
		}
		if m.Lifecycle.ListedStatus == wire.MachineFailed {
			e.Failed++
		}
		out[m.Zone()] = e
	}
	for zone, e := range out {
		e.CapacityRefused = g.core.autoscaler.zoneRefused(zone)
		out[zone] = e
	}
	return out
}

// startOf describes a task that looks for a place on a machine. What only the ramp asks for
// is left out unless the zone returns.
func (g *zoneGate) startOf(j *cluster.Job, index int, m *cluster.Machine) *zonerecovery.StartRequest {
	s := &zonerecovery.StartRequest{Task: ids.TaskRef{Job: j.ID, Index: index}, Critical: g.critical(j), ZonePinned: j.Spec.Zone != ""}
	if !g.unproven(m.Zone()) {
		return s
	}
	cached := m.Image(j.Spec.Image)
	// What the machine held before the zone was lost may be gone.
	s.NeedsFetch = cached == nil || cached.UsedAt < g.manager.CachesLostAt(m.Zone())
	s.MachineFetching = s.NeedsFetch && m.FetchesAnother(j.Spec.Image)
	s.ProbeEligible, s.Machine, s.Image = g.small(j), m.ID, j.Spec.Image
	return s
}

// critical tells whether the ramp makes room for a job: services, what must start sooner
// than a machine boots, and jobs of the highest priority.
func (g *zoneGate) critical(j *cluster.Job) bool {
	return j.Spec.Service || j.Priority() == wire.Critical || g.core.queue.latencySensitive(j)
}

// small tells whether tasks of a job may prove a zone: each can run again by itself, and is
// expected to end soon.
func (g *zoneGate) small(j *cluster.Job) bool {
	return !j.Spec.Service && !j.Spec.Gang && g.core.estimates.expectedRun(j.Spec) <= g.manager.ProbeRunLimit()
}

// gated tells whether anything may be denied in a zone now.
func (g *zoneGate) gated(zone ids.Zone) bool { return g != nil && g.manager.Gated(zone) }

// admits tells whether a task may start on a machine now.
func (g *zoneGate) admits(j *cluster.Job, index int, m *cluster.Machine) bool {
	if !g.gated(m.Zone()) {
		return true
	}
	return g.manager.Admit(m.Zone(), g.startOf(j, index, m)) == zonerecovery.Admitted
}

// evacuating tells whether work of some zone may have to find room elsewhere.
func (g *zoneGate) evacuating() bool { return g != nil && g.manager.Evacuating() }

// unproven tells whether a zone returns and has yet to show that it works.
func (g *zoneGate) unproven(zone ids.Zone) bool {
	return g != nil && g.manager.Condition(zone) == zonerecovery.Recovering
}

// requestPart tells what of a job the gate looks at now; ok is false for a job that is like no
// other.
func (g *zoneGate) requestPart(j *cluster.Job) (part gateClass, ok bool) {
	if g == nil || !g.manager.AnyGated() {
		return gateClass{}, true
	}
	if g.manager.AnyRecovering() {
		part = gateClass{evaluated: true, critical: g.critical(j), small: g.small(j)}
	}
	return part, !g.manager.FailbackDenied(j.ID)
}

// gateClass is what the gate looks at of a job, beside its image.
type gateClass struct{ evaluated, critical, small bool }

// started notes that a task was placed.
func (g *zoneGate) started(a *cluster.Assignment) {
	if g != nil {
		g.manager.TaskStarted(a.Machine.Zone(), g.startOf(a.Job, a.Index, a.Machine), g.core.clock.Now())
	}
}

// running notes that a task was seen to run.
func (g *zoneGate) running(a *cluster.Assignment) {
	if g != nil && g.manager.TaskRunning(a.Machine.Zone(), a.Ref(), g.core.clock.Now()) {
		g.core.rounds.MarkDue()
	}
}

// detached notes that a task is off its machine.
func (g *zoneGate) detached(a *cluster.Assignment) {
	if g != nil && g.manager.TaskEnded(a.Machine.Zone(), a.Ref()) {
		g.core.rounds.MarkDue()
	}
}

// failed notes that a task failed. One whose job fails everywhere says nothing of the zone.
func (g *zoneGate) failed(a *cluster.Assignment) {
	if g != nil && a.Job.Failures.Rounds == 0 {
		g.manager.TaskFailed(a.Machine.Zone(), a.Job.ID)
	}
}

// lost notes that a task that should have gone on was lost with its machine.
func (g *zoneGate) lost(a *cluster.Assignment) {
	if g != nil && a.StopReason() == cluster.StopNone && !a.Job.Terminal() && a.MayRun() {
		g.manager.TaskDisplaced(a.Machine.Zone(), a.Job.ID)
	}
}

// blocksRental tells whether no machine may be rented in a zone now.
func (g *zoneGate) blocksRental(zone ids.Zone) bool {
	if g == nil {
		return false
	}
	most, limited := g.rentalRoom(zone)
	return limited && most == 0
}

// rentalRoom is how many more machines may be rented in a zone now, if that is limited.
func (g *zoneGate) rentalRoom(zone ids.Zone) (most int, limited bool) {
	limit, limited := g.manager.ProvisioningLimit(zone)
	if limit == 0 {
		return 0, limited
	}
	if g.comingAt != g.core.clock.Now() || g.coming == nil {
		g.comingAt, g.coming = g.core.clock.Now(), g.core.autoscaler.comingByZone()
	}
	return max(0, limit-g.coming[zone]), limited
}

// limitRental bounds a purchase by what may be on its way to the zone at once.
func (g *zoneGate) limitRental(zone ids.Zone, count int) int {
	if g == nil {
		return count
	}
	if most, limited := g.rentalRoom(zone); limited {
		return min(count, most)
	}
	return count
}

// addReturning counts the free room of zones that return: it opens sooner than another
// machine boots.
func (g *zoneGate) addReturning(add func(placement.Site, placement.Resources)) {
	if !g.evacuating() {
		return
	}
	for _, m := range g.core.cluster.Machines() {
		if g.unproven(m.Zone()) && g.core.health.takesTasks(m) {
			add(m.Site(), m.Free())
		}
	}
}

// writeRecords writes the zones' records that are due, as far as the write rate allows.
func (g *zoneGate) writeRecords() {
	if g == nil {
		return
	}
	w := g.core.records
	fits := func(record *zonerecovery.Record) bool { return !wire.ExceedsJSONSize(record, g.core.opt.ValueBytes) }
	for w.mayWrite() {
		write, ok := g.manager.NextWrite(g.core.moment(), w.nextNonce(), fits)
		if !ok {
			return
		}
		change := records.DeleteZoneChange(write.Zone, write.Revision)
		if write.Record != nil {
			change = records.PutZoneChange(write.Zone, write.Revision, write.Record)
		}
		g.writes[w.submitOther(change)] = zoneWrite{zone: write.Zone, dropped: write.Record == nil}
	}
}

// settle takes the outcome of a change into account if it is a zone's record.
func (g *zoneGate) settle(result records.CommitResult) (ours bool) {
	if g == nil {
		return false
	}
	write, ours := g.writes[result.Change.ID]
	if !ours {
		return false
	}
	delete(g.writes, result.Change.ID)
	switch {
	case result.Err == nil:
		revision := result.Revision
		if write.dropped {
			revision = 0
		}
		if g.manager.WriteCommitted(write.zone, revision) {
			g.core.rounds.MarkDue()
		}
	case errors.Is(result.Err, records.ErrRejected):
		g.manager.WriteRejected(write.zone)
	default:
		g.core.recordsErr = fmt.Errorf("record of zone %s moved without this leader: %w", write.zone, result.Err)
	}
	return true
}
