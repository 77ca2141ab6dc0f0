package controller

import (
	"net/http"
	"testing"

	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/wire"
)

// The encoding of the two records that package records does not encode must not change: the format record,
// which says that every controller is upgraded, and the fleet record, which holds the revision of the first
// leader.
func TestFormatAndFleetRecordEncodingIsStable(t *testing.T) {
	store := newTestStore(t)
	c := startController(t, "n-0", store.Address())
	if err := c.gate.run(t.Context()); err != nil {
		t.Fatal(err)
	}
	startLeading(t, c)
	waitUntil(t, "the fleet record is written", func() bool {
		_, found := store.Entry("fleet")
		return found
	})
	format, _ := store.Entry("format")
	if got := string(format.Value); got != "\x81\xa1v\x02" {
		t.Errorf("format record written as %x", got)
	}
	fleet, _ := store.Entry("fleet")
	lease, _ := store.Entry("leader")
	if got, want := string(fleet.Value), "\x81\xa5first"+string([]byte{byte(lease.Revision)}); got != want {
		t.Errorf("fleet record written as %x, want %x", got, want)
	}
	var leader map[string]any
	if err := wire.Decode(lease.Value, &leader); err != nil || leader["n"] != "n-0" || leader["m"] != "127.0.0.1:2" || leader["i"] == nil || len(leader) != 3 {
		t.Errorf("leader record %v, %v", leader, err)
	}
}

// The format record must be read at the key and with the tags that are used to write it.
func TestFormatRecordIsReadWhereItIsWritten(t *testing.T) {
	rec := golden.NewRecorder(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(wire.Encode(map[string]any{"v": map[string]int{"v": 2}, "stamp": 5}))
	})
	c := newTestController(t, testConfig(rec.Address))
	if err := c.gate.Load(t.Context(), c.userStore); err != nil || !c.gate.Open() {
		t.Errorf("the gate is not open after reading the format record: %v", err)
	}
	if want := "GET /store/format \"\" -\n"; rec.Text() != want {
		t.Errorf("request %q, want %q", rec.Text(), want)
	}
}
