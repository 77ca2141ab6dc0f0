package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/zonerecovery"
)

// LoadZone loads the record of a zone that a previous leader wrote. It must be called before
// Begin. It does nothing if zone recovery is off.
func (c *Core) LoadZone(now monotonic.Instant, zone ids.Zone, record *zonerecovery.Record, revision ids.Revision) {
	if c.zones == nil {
		return
	}
	c.clock.Begin(now)
	c.zones.manager.Load(zone, record, revision, c.zones.clockReading())
}

// LoadUnreadableZone replaces LoadZone for a record that cannot be decoded. The zone then counts
// as in outage.
func (c *Core) LoadUnreadableZone(now monotonic.Instant, zone ids.Zone, revision ids.Revision) {
	if c.zones == nil {
		return
	}
	c.clock.Begin(now)
	c.zones.manager.LoadUnreadable(zone, revision, c.zones.clockReading())
}

// ObserveConnectivity updates the state of the leader's connections to the key-value store and to
// the other controllers.
func (c *Core) ObserveConnectivity(connectivity zonerecovery.Connectivity) {
	if c.zones != nil {
		c.zones.connectivity = connectivity
	}
}

// OverrideZone applies an operator's override of a zone. The override is recorded once
// ZoneOverrideRecorded returns true for the returned number. ok is false if zone recovery is off.
func (c *Core) OverrideZone(now monotonic.Instant, zone ids.Zone, override zonerecovery.Override) (number uint64, ok bool) {
	if c.zones == nil {
		return 0, false
	}
	c.clock.Set(now)
	c.rounds.MarkDue()
	return c.zones.manager.Override(zone, override, c.zones.clockReading()), true
}

// ZoneOverrideRecorded reports whether the operator's override with this number is recorded.
func (c *Core) ZoneOverrideRecorded(zone ids.Zone, number uint64) bool {
	return c.zones != nil && c.zones.manager.RecordedOverride(zone) >= number
}

// ZoneStatus returns the status of all zones for operators. It returns nil if zone recovery is
// off.
func (c *Core) ZoneStatus(now monotonic.Instant) []zonerecovery.Status {
	if c.zones == nil {
		return nil
	}
	c.clock.Set(now)
	return c.zones.manager.Status(c.zones.clockReading())
}
