package leader

import (
	"context"
	"fmt"
	"slices"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/zonerecovery"
)

const (
	// overrideTimeout is how long an override may take to be recorded.
	overrideTimeout = 5 * time.Second
	// overrideCheckInterval is the time between two checks whether an override is recorded.
	overrideCheckInterval = 100 * time.Millisecond
)

// Zones returns the conditions of all zones. It returns peerapi.ErrNotLeading if the context or the
// term ends first.
func (l *Leader) Zones(ctx context.Context) (peerapi.ZonesResponse, error) {
	reply := make(chan []zonerecovery.Status, 1)
	zones, err := request(ctx, l.mailbox, zoneStatusRequested{reply: reply}, reply)
	if err != nil {
		return peerapi.ZonesResponse{}, err
	}
	return peerapi.ZonesResponse{Enabled: l.dependencies.Operator.ZoneRecoveryPolicy != nil, Leader: l.dependencies.Platform.HostName, Zones: zones}, nil
}

// OverrideZone applies an operator's override, and returns the conditions of all zones once the
// override is recorded. It returns peerapi.ErrZoneRecoveryDisabled if zone recovery is disabled,
// peerapi.ErrOverrideNotRecorded if the override is not known to be recorded within overrideTimeout,
// and peerapi.ErrNotLeading if the context or the term ends before the core has accepted the override
// or returned the conditions.
func (l *Leader) OverrideZone(ctx context.Context, override peerapi.ZoneOverride) (peerapi.ZonesResponse, error) {
	if known := l.dependencies.Platform.Settings.Zones; !slices.Contains(known, override.Zone) {
		return peerapi.ZonesResponse{}, fmt.Errorf("unknown zone %q, the zones are %v", override.Zone, known)
	}
	accepted, err := l.startOverride(ctx, override)
	if err != nil {
		return peerapi.ZonesResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, overrideTimeout)
	defer cancel()
	if err := l.awaitOverride(ctx, override, accepted); err != nil {
		return peerapi.ZonesResponse{}, err
	}
	return l.Zones(ctx)
}

// startOverride passes an override to the core.
func (l *Leader) startOverride(ctx context.Context, override peerapi.ZoneOverride) (acceptedOverride, error) {
	reply := make(chan acceptedOverride, 1)
	accepted, err := request(ctx, l.mailbox, zoneOverrideRequested{
		zone:     override.Zone,
		override: zonerecovery.Override{Kind: override.Kind, Reason: override.Reason, UntilMS: override.UntilMS},
		reply:    reply,
	}, reply)
	if err == nil && !accepted.recoveryEnabled {
		err = peerapi.ErrZoneRecoveryDisabled
	}
	return accepted, err
}

// awaitOverride waits until an override is recorded, or until the context ends.
func (l *Leader) awaitOverride(ctx context.Context, override peerapi.ZoneOverride, accepted acceptedOverride) error {
	for {
		reply := make(chan bool, 1)
		recorded, err := request(ctx, l.mailbox, zoneOverrideCheckRequested{zone: override.Zone, number: accepted.number, reply: reply}, reply)
		switch {
		case err != nil:
			return peerapi.ErrOverrideNotRecorded
		case recorded:
			return nil
		}
		if !monotonic.Sleep(ctx, overrideCheckInterval) {
			return peerapi.ErrOverrideNotRecorded
		}
	}
}
