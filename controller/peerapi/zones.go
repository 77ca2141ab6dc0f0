package peerapi

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/zonerecovery"
)

// ZoneOverride holds an operator's override for a zone.
type ZoneOverride struct {
	Zone   ids.Zone                  `cbor:"1,keyasint"`
	Kind   zonerecovery.OverrideKind `cbor:"2,keyasint"`
	Reason string                    `cbor:"3,keyasint"`
	// UntilMS is the Unix time in milliseconds at which a hold ends. 0 means that the hold lasts
	// until an operator lifts it.
	UntilMS int64 `cbor:"4,keyasint"`
}

// ZonesResponse holds the conditions of all zones. Enabled reports whether zone recovery is enabled in
// the operators' settings.
type ZonesResponse struct {
	Enabled bool                  `cbor:"1,keyasint" json:"enabled"`
	Leader  ids.ControllerName    `cbor:"2,keyasint" json:"leader"`
	Zones   []zonerecovery.Status `cbor:"3,keyasint" json:"zones"`
}
