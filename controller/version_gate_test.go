package controller

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// A peer counts as upgraded only if this controller, or another upgraded peer, has received a ping of this
// version from it.
func TestAllUpgradedNeedsPingFromEachPeer(t *testing.T) {
	upgradedPing := func(upgraded ...ids.ControllerName) peerapi.Ping {
		return peerapi.Ping{Versions: peerapi.Versions{Format: peerapi.RecordFormat, Upgraded: upgraded}}
	}
	for _, c := range []struct {
		name          string
		first, second *peerapi.Ping
		all           bool
	}{
		{"no ping from either peer", nil, nil, false},
		{"ping from one peer", new(upgradedPing()), nil, false},
		{"pings from both peers", new(upgradedPing()), new(upgradedPing()), true},
		{"older version of one peer", new(upgradedPing()), new(peerapi.Ping{From: "n-2"}), false},
		{"ping from one peer that received a ping from the other", new(upgradedPing("n-0", "n-2")), nil, true},
		{"ping received by a peer that was downgraded", new(peerapi.Ping{Versions: peerapi.Versions{Format: 1, Upgraded: []ids.ControllerName{"n-2"}}}), nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			platform := testConfig("127.0.0.1:4")
			platform.Seeds = []config.Peer{{Name: "n-1", Address: "127.0.0.1:5"}, {Name: "n-2", Address: "127.0.0.1:6"}}
			n := newTestController(t, platform)
			for i, ping := range []*peerapi.Ping{c.first, c.second} {
				if ping != nil {
					n.peers[i].observeVersions(upgradedPing("n-1", "n-2").Versions)
					n.peers[i].observeVersions(ping.Versions)
				}
			}
			if all, durable := n.gate.allUpgraded(), n.gate.durable(); all != c.all || durable {
				t.Errorf("all upgraded: %v, durable: %v", all, durable)
			}
		})
	}
}

// An open gate must be recorded in the key-value store, so that a controller that starts later opens its
// gate without pings from its peers.
func TestOpenGateIsRecorded(t *testing.T) {
	peers := []config.Peer{{Name: "n-1", Address: "127.0.0.1:5"}, {Name: "n-2", Address: "127.0.0.1:6"}}
	store := newTestStore(t)
	first, second := startController(t, "n-0", store.Address(), peers...), startController(t, "n-0", store.Address(), peers...)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for i := range peers {
		first.peers[i].observeVersions(peerapi.Versions{Format: peerapi.RecordFormat})
	}
	for _, c := range []*Controller{first, second} {
		if err := c.gate.run(ctx); err != nil || !c.gate.Open() {
			t.Fatalf("gate not open: %v", err)
		}
	}
}

// A format record that cannot be decoded must be logged, and must not cause an error, which would end the
// term.
func TestUnreadableFormatRecordIsReported(t *testing.T) {
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(wire.Encode(map[string]any{"v": "nonsense", "stamp": 3}))
	}))
	t.Cleanup(store.Close)
	var logged bytes.Buffer
	c := newLoggingController(t, testConfig(strings.TrimPrefix(store.URL, "http://")), slog.New(slog.NewTextHandler(&logged, nil)))
	if err := c.gate.Load(t.Context(), c.userStore); err != nil || c.gate.Open() {
		t.Errorf("gate open: %v, %v", c.gate.Open(), err)
	}
	if !strings.Contains(logged.String(), "key=format") {
		t.Errorf("no log record for the key: %s", logged.String())
	}
}
