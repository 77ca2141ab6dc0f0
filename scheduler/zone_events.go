package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/zonerecovery"
)

// LoadZone loads the record of a zone that a previous leader wrote. It must be called before
// Begin. It does nothing where zone recovery is off.
func (c *Core) LoadZone(now monotonic.Instant, zone ids.Zone, record *zonerecovery.Record, revision ids.Revision) {
	if c.zones == nil {
		return
	}
	c.clock.Begin(now)
	c.zones.manager.Load(zone, record, revision, c.zones.clockReading())
}

// LoadUnreadableZone is called instead of LoadZone for a record that cannot be decoded. The
// zone then counts as in outage.
func (c *Core) LoadUnreadableZone(now monotonic.Instant, zone ids.Zone, revision ids.Revision) {
	if c.zones == nil {
		return
	}
	c.clock.Begin(now)
	c.zones.manager.LoadUnreadable(zone, revision, c.zones.clockReading())
}

// ObserveConnectivity sets what the leader knows of its connections to the key-value store and
// to the other controllers.
func (c *Core) ObserveConnectivity(connectivity zonerecovery.Connectivity) {
	if c.zones != nil {
		c.zones.connectivity = connectivity
	}
}

// OverrideZone carries out an operator's decision about a zone. The decision is recorded
// once ZoneOverrideRecorded is true for the returned number. ok is false where zone recovery
// is off.
func (c *Core) OverrideZone(now monotonic.Instant, zone ids.Zone, override zonerecovery.Override) (number uint64, ok bool) {
	if c.zones == nil {
		return 0, false
	}
	c.clock.Set(now)
	c.rounds.MarkDue()
	return c.zones.manager.Override(zone, override, c.zones.clockReading()), true
}

// ZoneOverrideRecorded tells whether the operator's decision of this number is recorded.
func (c *Core) ZoneOverrideRecorded(zone ids.Zone, number uint64) bool {
	return c.zones != nil && c.zones.manager.RecordedOverride(zone) >= number
}

// ZoneStatus returns the status of all zones for operators; nil where zone recovery is off.
func (c *Core) ZoneStatus(now monotonic.Instant) []zonerecovery.Status {
	if c.zones == nil {
		return nil
	}
	c.clock.Set(now)
	return c.zones.manager.Status(c.zones.clockReading())
}
