package fleet

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

func TestBackoffDoublesUntilSuccess(t *testing.T) {
	b := NewBackoff(10 * time.Second)
	site, other := onDemand("small", "a"), onDemand("small", "b")
	now := monotonic.Instant(time.Hour)
	if b.Active(site, now) || b.RecentlyRefused(site) {
		t.Error("backoff is active before a refusal")
	}
	for _, wait := range []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second, time.Minute, time.Minute} {
		b.RecordRefusal(site, now)
		if !b.Active(site, now.Add(wait-1)) || b.Active(site, now.Add(wait)) {
			t.Errorf("backoff does not last exactly %v", wait)
		}
		if b.Active(other, now) {
			t.Error("backoff is active for another site")
		}
	}
	b.RecordSuccess(site)
	if b.Active(site, now) || b.RecentlyRefused(site) {
		t.Error("backoff is active after a success")
	}
}
