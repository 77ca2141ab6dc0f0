package controller

import (
	"net/http"
	"testing"

	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/wire"
)

// Two records are written here rather than by package records, and keep their bytes: that every
// controller is upgraded, and since which leader the fleet is known.
func TestFormatRecordKeepsItsBytes(t *testing.T) {
	state := newTestStore(t)
	c := startController(t, "n-0", state.Address())
	if err := c.gate.run(t.Context()); err != nil {
		t.Fatal(err)
	}
	startLeading(t, c)
	until(t, "the fleet's record", func() bool {
		_, found := state.Entry("fleet")
		return found
	})
	format, _ := state.Entry("format")
	if got := string(format.Value); got != "\x81\xa1v\x02" {
		t.Errorf("format written as %x", got)
	}
	fleet, _ := state.Entry("fleet")
	lease, _ := state.Entry("leader")
	if got, want := string(fleet.Value), "\x81\xa5first"+string([]byte{byte(lease.Revision)}); got != want {
		t.Errorf("fleet written as %x, want %x", got, want)
	}
	var leader map[string]any
	if err := wire.Decode(lease.Value, &leader); err != nil || leader["n"] != "n-0" || leader["m"] != "127.0.0.1:2" || leader["i"] == nil || len(leader) != 3 {
		t.Errorf("leader lease %v, %v", leader, err)
	}
}

// The format's record is read at the key and with the tags that it is written with.
func TestFormatIsReadWhereItIsWritten(t *testing.T) {
	rec := golden.NewRecorder(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(wire.Encode(map[string]any{"v": map[string]int{"v": 2}, "stamp": 5}))
	})
	c := newTestController(t, testConfig(rec.Address))
	if err := c.gate.Load(t.Context(), c.userStore); err != nil || !c.gate.Open() {
		t.Errorf("not read: %v", err)
	}
	if want := "GET /store/format \"\" -\n"; rec.Text() != want {
		t.Errorf("asked %q, want %q", rec.Text(), want)
	}
}
