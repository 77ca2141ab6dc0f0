package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
)

// simImageCaches stands in for the image caches of machines and the links of zones: a machine
// fetches each image once, and the fetches of a zone share its link. It injects no faults.
type simImageCaches struct {
	images         map[*simWorker]map[ids.Image]bool
	inFlight, peak map[ids.Zone]int // fetches by zone
	total          int              // fetches of the whole day
}

const (
	// linkFetches is how many fetches a zone's link carries at full speed.
	linkFetches = 4
	// fullSpeedFetch is how long a fetch takes at full speed, cachedStart a start without one.
	fullSpeedFetch = 2 * time.Second
	cachedStart    = 50 * time.Millisecond
)

// fetch begins a fetch if the image is missing, and returns how long the task waits.
func (c *simImageCaches) fetch(s *sim, w *simWorker, image ids.Image) time.Duration {
	if c.images[w] == nil {
		c.images[w] = map[ids.Image]bool{}
	}
	if c.images[w][image] {
		return cachedStart
	}
	c.inFlight[w.zone]++
	c.total++
	c.peak[w.zone] = max(c.peak[w.zone], c.inFlight[w.zone])
	took := fullSpeedFetch * time.Duration(max(linkFetches, c.inFlight[w.zone])) / linkFetches
	s.after(took, func() {
		c.inFlight[w.zone]--
		c.images[w][image] = true
	})
	return took
}
