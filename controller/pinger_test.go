package controller

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/peerrpc"
)

// productionPing represents a ping in the version in production.
type productionPing struct {
	From           string `cbor:"1,keyasint"`
	Leader         string `cbor:"2,keyasint"`
	PeerAddress    string `cbor:"3,keyasint"`
	Incarnation    uint64 `cbor:"4,keyasint"`
	Revision       uint64 `cbor:"5,keyasint"`
	StoreReachable bool   `cbor:"6,keyasint"`
	Workers        int    `cbor:"7,keyasint"`
}

// Controllers of the version in production must decode the fields that they know from a ping, and ignore
// the fields that are new.
func TestProductionVersionReadsPings(t *testing.T) {
	c := newTestController(t, testConfig("127.0.0.1:4"))
	raw, err := cbor.Marshal(c.pinger.currentPing())
	if err != nil {
		t.Fatal(err)
	}
	var old productionPing
	if err := cbor.Unmarshal(raw, &old); err != nil || old != (productionPing{From: "n-0", StoreReachable: true}) {
		t.Errorf("the version in production reads %+v, %v", old, err)
	}
	var full peerapi.Ping
	if err := peerrpc.Decode(raw, &full); err != nil || full.Format != peerapi.RecordFormat {
		t.Errorf("this version reads %+v, %v", full, err)
	}
}
