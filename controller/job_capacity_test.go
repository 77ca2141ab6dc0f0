package controller

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"ospreystile.example/ospreystile/config"
)

// Jobs are never deleted, so a deployment grows until a controller exceeds its memory. Operators must be told
// before, once, and not at the start of a deployment.
func TestLogWarnsBeforeTheCapacityIsReached(t *testing.T) {
	var logged bytes.Buffer
	platform := new(config.Platform)
	platform.Settings.Resources.RAMMB = 100
	capacity := newJobCapacity(platform, slog.New(slog.NewTextHandler(&logged, nil)))
	capacity.observe(capacity.jobs / 2)
	if logged.Len() > 0 {
		t.Errorf("at half of the capacity: %s", logged.String())
	}
	for range 3 {
		capacity.observe(capacity.jobs * 9 / 10)
	}
	if got := strings.Count(logged.String(), "stored jobs near capacity"); got != 1 {
		t.Errorf("%d warnings at nine tenths of the capacity, want 1", got)
	}
}
