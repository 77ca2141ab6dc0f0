package controller

import (
	"net/http"
	"testing"

	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/wire"
)

// The records that are written as maps keep their bytes: those that say that every
// controller is new, and since which leader the fleet is known.
func TestFormatRecordKeepsItsBytes(t *testing.T) {
	state := newSmallState(t)
	n := state.started(t)
	if err := n.awaitUpgrade(t.Context()); err != nil {
		t.Fatal(err)
	}
	state.leads(t, n)
	until(t, "the fleet's record", func() bool {
		state.mu.Lock()
		defer state.mu.Unlock()
		return state.keys["fleet"].Value != nil
	})
	state.mu.Lock()
	defer state.mu.Unlock()
	if got := string(state.keys["format"].Value); got != "\x81\xa1v\x02" {
		t.Errorf("format written as %x", got)
	}
	if got, want := string(state.keys["fleet"].Value), "\x81\xa5first"+string([]byte{byte(state.keys["leader"].Revision)}); got != want {
		t.Errorf("fleet written as %x, want %x", got, want)
	}
	var leader map[string]any
	if err := wire.Decode(state.keys["leader"].Value, &leader); err != nil || leader["n"] != "n-0" || leader["m"] != "127.0.0.1:2" || leader["i"] == nil || len(leader) != 3 {
		t.Errorf("leader lease %v, %v", leader, err)
	}
}

// The format's record is read at the key and with the words that it is written with.
func TestFormatIsReadWhereItIsWritten(t *testing.T) {
	rec := golden.Record(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(wire.Encode(map[string]any{"v": map[string]int{"v": 2}, "stamp": 5}))
	})
	n := testNode(t, testConfig(rec.Address))
	if err := n.readUpgrade(t.Context(), n.userState); err != nil || !n.upgrade.done() {
		t.Errorf("not read: %v", err)
	}
	if want := "GET /store/format \"\" -\n"; rec.Text() != want {
		t.Errorf("asked %q, want %q", rec.Text(), want)
	}
}
