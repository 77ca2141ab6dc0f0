package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/peerrpc"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// The operations that operators' commands use.
const (
	// opZones asks the leader for the conditions of all zones.
	opZones peerrpc.Operation = "zones"
	// opZoneOverride hands a ZoneOverride to the leader, which answers once it is recorded.
	opZoneOverride peerrpc.Operation = "zone-override"
)

// ZoneOverride is an operator's decision about a zone, as it is sent to the leader.
type ZoneOverride struct {
	Zone   ids.Zone                  `cbor:"1,keyasint"`
	Kind   zonerecovery.OverrideKind `cbor:"2,keyasint"`
	Reason string                    `cbor:"3,keyasint"`
	// UntilMS is the time of day when a hold is over; 0: when it is lifted.
	UntilMS int64 `cbor:"4,keyasint"`
}

// ZonesResponse is the conditions of all zones. Enabled is false where operators did not have
// them watched.
type ZonesResponse struct {
	Enabled bool                  `cbor:"1,keyasint" json:"enabled"`
	Leader  ids.ControllerName    `cbor:"2,keyasint" json:"leader"`
	Zones   []zonerecovery.Status `cbor:"3,keyasint" json:"zones"`
}

var (
	// errZonesOff refuses an operator's decision where zones are not watched.
	errZonesOff = errors.New("zone_return.enabled is false in the operators' settings")
	// errNotRecorded tells that an operator's decision may or may not count.
	errNotRecorded = errors.New("not recorded in time: look at the zones, and decide again")
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
	answer := ZonesResponse{Enabled: t.n.op.ZoneRecoveryPolicy != nil, Leader: t.n.cfg.HostName}
	if !t.ask(ctx, func() { answer.Zones = t.core.ZoneStatus(t.n.clock.Now()) }) {
		return nil, errNotLeading
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
func (t *term) handleZoneOverride(ctx context.Context, o ZoneOverride) (any, error) {
	if known := t.n.cfg.Settings.Zones; !slices.Contains(known, o.Zone) {
		return nil, fmt.Errorf("unknown zone %q, the zones are %v", o.Zone, known)
	}
	var number uint64
	on := false
	decision := zonerecovery.Override{Kind: o.Kind, Reason: o.Reason, UntilMS: o.UntilMS}
	if !t.ask(ctx, func() { number, on = t.core.OverrideZone(t.n.clock.Now(), o.Zone, decision) }) {
		return nil, errNotLeading
	}
	if !on {
		return nil, errZonesOff
	}
	ctx, cancel := context.WithTimeout(ctx, overrideTimeout)
	defer cancel()
	for recorded := false; ; {
		if !t.ask(ctx, func() { recorded = t.core.ZoneOverrideRecorded(o.Zone, number) }) {
			return nil, errNotRecorded
		}
		if recorded {
			return t.handleZones(ctx)
		}
		if !monotonic.Sleep(ctx, overridePoll) {
			return nil, errNotRecorded
		}
	}
}

// OperatorClient asks the controllers of a deployment on an operator's behalf.
type OperatorClient struct{ peers []*peerrpc.Peer }

// NewOperatorClient makes a client of the controllers that the platform's settings name.
func NewOperatorClient(self ids.ControllerName, selfAddress string, seeds map[ids.ControllerName]string) *OperatorClient {
	c := &OperatorClient{peers: []*peerrpc.Peer{peerrpc.NewPeer(self, selfAddress)}}
	for _, name := range sortedNames(seeds) {
		c.peers = append(c.peers, peerrpc.NewPeer(name, seeds[name]))
	}
	return c
}

// sortedNames lists controllers by name.
func sortedNames(seeds map[ids.ControllerName]string) []ids.ControllerName {
	names := make([]ids.ControllerName, 0, len(seeds))
	for name := range seeds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Zones asks for the conditions of all zones.
func (c *OperatorClient) Zones(ctx context.Context) (ZonesResponse, error) {
	return c.call(ctx, opZones, struct{}{})
}

// OverrideZone has the leader carry a decision out.
func (c *OperatorClient) OverrideZone(ctx context.Context, o ZoneOverride) (ZonesResponse, error) {
	return c.call(ctx, opZoneOverride, o)
}

// call asks one controller after the other until the leader answers.
func (c *OperatorClient) call(ctx context.Context, op peerrpc.Operation, request any) (answer ZonesResponse, err error) {
	var failures []error
	for _, p := range c.peers {
		call, cancel := context.WithTimeout(ctx, overrideTimeout+time.Second)
		err := p.Call(call, op, request, &answer)
		cancel()
		p.Close()
		if err == nil {
			return answer, nil
		}
		failures = append(failures, err)
		if errors.Is(err, peerrpc.ErrRemote) && !errors.Is(err, errNotLeading) {
			return answer, err // the leader's decision
		}
	}
	return answer, errors.Join(failures...)
}
