package fleet

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/placement"
)

// maxBackoffFactor bounds the wait of a site at this many times the first one.
const maxBackoffFactor = 6

// Backoff remembers which sites lacked capacity recently, and for how long not to ask them. The
// wait of a site doubles with each refusal until it succeeds.
type Backoff struct {
	firstWait time.Duration
	sites     map[placement.Site]siteBackoff
}

// siteBackoff is the state of a site that was refused. A site without one was not.
type siteBackoff struct {
	until    monotonic.Instant // the site is not asked before
	nextWait time.Duration     // the wait after another refusal
}

// NewBackoff returns a backoff in which a site's first wait takes the given time.
func NewBackoff(first time.Duration) *Backoff {
	return &Backoff{first, map[placement.Site]siteBackoff{}}
}

// RecordRefusal notes that a site had no capacity.
func (b *Backoff) RecordRefusal(s placement.Site, now monotonic.Instant) {
	wait := b.sites[s].nextWait
	if wait == 0 {
		wait = b.firstWait
	}
	b.sites[s] = siteBackoff{until: now.Add(wait), nextWait: min(2*wait, maxBackoffFactor*b.firstWait)}
}

// RecordSuccess notes that a site had capacity, which ends its backoff.
func (b *Backoff) RecordSuccess(s placement.Site) { delete(b.sites, s) }

// RecentlyRefused tells whether a site lacked capacity when it was last asked.
func (b *Backoff) RecentlyRefused(s placement.Site) bool { return b.sites[s].nextWait > 0 }

// Active tells whether a site should not be asked yet.
func (b *Backoff) Active(s placement.Site, now monotonic.Instant) bool { return now < b.sites[s].until }
