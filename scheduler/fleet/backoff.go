package fleet

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/placement"
)

// maxBackoffFactor is the maximum backoff of a site, as a multiple of the first backoff.
const maxBackoffFactor = 6

// Backoff holds which sites recently lacked capacity, and until when no machines are requested from
// them. The backoff of a site doubles with each refusal, up to maxBackoffFactor, until a request succeeds.
type Backoff struct {
	firstWait time.Duration
	sites     map[placement.Site]siteBackoff
}

// siteBackoff holds the state of a site that has refused requests since its last success. Other sites
// have none.
type siteBackoff struct {
	until    monotonic.Instant // no machine is requested from the site before this time
	nextWait time.Duration     // the backoff after the next refusal
}

// NewBackoff returns a Backoff whose first backoff for a site has the given duration.
func NewBackoff(first time.Duration) *Backoff {
	return &Backoff{first, map[placement.Site]siteBackoff{}}
}

// RecordRefusal records that a site had no capacity.
func (b *Backoff) RecordRefusal(s placement.Site, now monotonic.Instant) {
	wait := b.sites[s].nextWait
	if wait == 0 {
		wait = b.firstWait
	}
	b.sites[s] = siteBackoff{until: now.Add(wait), nextWait: min(2*wait, maxBackoffFactor*b.firstWait)}
}

// RecordSuccess records that a site had capacity, which ends its backoff.
func (b *Backoff) RecordSuccess(s placement.Site) { delete(b.sites, s) }

// RecentlyRefused reports whether a site lacked capacity at the last request.
func (b *Backoff) RecentlyRefused(s placement.Site) bool { return b.sites[s].nextWait > 0 }

// Active reports whether no machine should be requested from a site yet.
func (b *Backoff) Active(s placement.Site, now monotonic.Instant) bool { return now < b.sites[s].until }
