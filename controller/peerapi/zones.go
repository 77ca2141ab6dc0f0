package peerapi

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/zonerecovery"
)

// ZoneOverride is an operator's decision about a zone.
type ZoneOverride struct {
	Zone   ids.Zone                  `cbor:"1,keyasint"`
	Kind   zonerecovery.OverrideKind `cbor:"2,keyasint"`
	Reason string                    `cbor:"3,keyasint"`
	// UntilMS is the time of day when a hold ends, in milliseconds since the Unix epoch; 0
	// means that it lasts until it is lifted.
	UntilMS int64 `cbor:"4,keyasint"`
}

// ZonesResponse lists the conditions of all zones. Enabled is false where the operators' settings
// do not have zones watched.
type ZonesResponse struct {
	Enabled bool                  `cbor:"1,keyasint" json:"enabled"`
	Leader  ids.ControllerName    `cbor:"2,keyasint" json:"leader"`
	Zones   []zonerecovery.Status `cbor:"3,keyasint" json:"zones"`
}
