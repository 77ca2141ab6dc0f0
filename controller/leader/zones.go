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

// Zones returns the conditions of all zones. It fails with peerapi.ErrNotLeading if the
// context or the term ends first.
func (l *Leader) Zones(ctx context.Context) (peerapi.ZonesResponse, error) {
	reply := make(chan []zonerecovery.Status, 1)
	zones, err := request(ctx, l.mailbox, zoneStatusAsked{reply: reply}, reply)
	if err != nil {
		return peerapi.ZonesResponse{}, err
	}
	return peerapi.ZonesResponse{Enabled: l.dependencies.Operator.ZoneRecoveryPolicy != nil, Leader: l.dependencies.Platform.HostName, Zones: zones}, nil
}

// OverrideZone applies an operator's override, and returns the conditions of all zones once it is
// recorded. It fails with peerapi.ErrZoneRecoveryDisabled, with
// peerapi.ErrOverrideNotRecorded if that is not known in time, and with
// peerapi.ErrNotLeading if the override did not reach the core.
func (l *Leader) OverrideZone(ctx context.Context, override peerapi.ZoneOverride) (peerapi.ZonesResponse, error) {
	if known := l.dependencies.Platform.Settings.Zones; !slices.Contains(known, override.Zone) {
		return peerapi.ZonesResponse{}, fmt.Errorf("unknown zone %q, the zones are %v", override.Zone, known)
	}
	ticket, err := l.startOverride(ctx, override)
	if err != nil {
		return peerapi.ZonesResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, overrideTimeout)
	defer cancel()
	if err := l.awaitOverride(ctx, override, ticket); err != nil {
		return peerapi.ZonesResponse{}, err
	}
	return l.Zones(ctx)
}

// startOverride has the core apply an override.
func (l *Leader) startOverride(ctx context.Context, override peerapi.ZoneOverride) (overrideTicket, error) {
	reply := make(chan overrideTicket, 1)
	ticket, err := request(ctx, l.mailbox, zoneOverrideAsked{
		zone:     override.Zone,
		override: zonerecovery.Override{Kind: override.Kind, Reason: override.Reason, UntilMS: override.UntilMS},
		reply:    reply,
	}, reply)
	if err == nil && !ticket.watched {
		err = peerapi.ErrZoneRecoveryDisabled
	}
	return ticket, err
}

// awaitOverride waits until an override is recorded, or until the context ends.
func (l *Leader) awaitOverride(ctx context.Context, override peerapi.ZoneOverride, ticket overrideTicket) error {
	for {
		reply := make(chan bool, 1)
		recorded, err := request(ctx, l.mailbox, zoneOverrideRecordedAsked{zone: override.Zone, number: ticket.number, reply: reply}, reply)
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
