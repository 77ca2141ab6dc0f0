package controller

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// loadZones reads the records of zones, where operators have them watched. It comes before
// the admissions, so that their tasks count where they are.
func (t *term) loadZones() error {
	if t.n.op.ZoneRecoveryPolicy == nil {
		return nil
	}
	_, err := t.n.leaderState.List(t.ctx, records.ZonePrefix, func(e kv.Entry) error {
		zone := ids.Zone(strings.TrimPrefix(e.Key, records.ZonePrefix))
		var record zonerecovery.Record
		if err := wire.Decode(e.Value, &record); err != nil {
			t.n.unreadable(e.Key, err)
			t.core.LoadUnreadableZone(t.n.clock.Now(), zone, e.Revision)
			return nil
		}
		t.core.LoadZone(t.n.clock.Now(), zone, &record, e.Revision)
		return nil
	})
	return err
}

// peerSilence is after how long without an answer to a ping a controller does not count as
// heard.
const peerSilence = 5 * time.Second

// view is what this leader knows of its own place among the controllers.
func (t *term) view() zonerecovery.Connectivity {
	view := zonerecovery.Connectivity{LeaseConfirmed: t.key.HoldsLease(), Peers: len(t.n.peers)}
	now := t.n.clock.Now()
	for _, p := range t.n.peers {
		if heard := monotonic.Instant(p.lastHeard.Load()); heard != 0 && now < heard.Add(peerSilence) {
			view.PeersReachable++
		}
	}
	return view
}

// logZoneEvents logs changes of zones' conditions.
func (t *term) logZoneEvents(events []zonerecovery.Event) {
	for _, e := range events {
		t.n.log.Info("zone condition changed", "zone", e.Zone, "from", e.From, "to", e.To, "step", e.Step, "reason", e.Reason)
	}
}

// handleZones answers with the conditions of all zones.
func (t *term) handleZones(ctx context.Context) (any, error) {
	answer := peerapi.ZonesResponse{Enabled: t.n.op.ZoneRecoveryPolicy != nil, Leader: t.n.cfg.HostName}
	if !t.ask(ctx, func() { answer.Zones = t.core.ZoneStatus(t.n.clock.Now()) }) {
		return nil, peerapi.ErrNotLeading
	}
	return answer, nil
}

const (
	// overrideTimeout is how long an operator's decision may take to be recorded.
	overrideTimeout = 5 * time.Second
	// overridePoll is how often it is looked at meanwhile.
	overridePoll = 100 * time.Millisecond
)

// handleZoneOverride carries an operator's decision out, and answers once it is recorded.
func (t *term) handleZoneOverride(ctx context.Context, o peerapi.ZoneOverride) (any, error) {
	if known := t.n.cfg.Settings.Zones; !slices.Contains(known, o.Zone) {
		return nil, fmt.Errorf("unknown zone %q, the zones are %v", o.Zone, known)
	}
	var number uint64
	on := false
	decision := zonerecovery.Override{Kind: o.Kind, Reason: o.Reason, UntilMS: o.UntilMS}
	if !t.ask(ctx, func() { number, on = t.core.OverrideZone(t.n.clock.Now(), o.Zone, decision) }) {
		return nil, peerapi.ErrNotLeading
	}
	if !on {
		return nil, peerapi.ErrZoneRecoveryDisabled
	}
	ctx, cancel := context.WithTimeout(ctx, overrideTimeout)
	defer cancel()
	for recorded := false; ; {
		if !t.ask(ctx, func() { recorded = t.core.ZoneOverrideRecorded(o.Zone, number) }) {
			return nil, peerapi.ErrOverrideNotRecorded
		}
		if recorded {
			return t.handleZones(ctx)
		}
		if !monotonic.Sleep(ctx, overridePoll) {
			return nil, peerapi.ErrOverrideNotRecorded
		}
	}
}
