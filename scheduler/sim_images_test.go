package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
)

// simImageCaches simulates the image caches of machines and the network links of zones. A machine
// fetches each image once, and the fetches of a zone share its link. It injects no faults.
type simImageCaches struct {
	images         map[*simWorker]map[ids.Image]bool
	inFlight, peak map[ids.Zone]int // fetches by zone: now, and their maximum
	total          int              // number of fetches since the start
}

const (
	// linkCapacity is the number of concurrent fetches that a zone's link carries at full speed.
	linkCapacity = 4
	// fullSpeedFetchTime is the duration of a fetch at full speed. cachedStartTime is how long a
	// task with a cached image waits.
	fullSpeedFetchTime = 2 * time.Second
	cachedStartTime    = 50 * time.Millisecond
)

// fetch starts a fetch unless the image is cached, and returns how long the task waits.
func (c *simImageCaches) fetch(s *sim, w *simWorker, image ids.Image) time.Duration {
	if c.images[w] == nil {
		c.images[w] = map[ids.Image]bool{}
	}
	if c.images[w][image] {
		return cachedStartTime
	}
	c.inFlight[w.zone]++
	c.total++
	c.peak[w.zone] = max(c.peak[w.zone], c.inFlight[w.zone])
	fetchTime := fullSpeedFetchTime * time.Duration(max(linkCapacity, c.inFlight[w.zone])) / linkCapacity
	s.after(fetchTime, func() {
		c.inFlight[w.zone]--
		c.images[w][image] = true
	})
	return fetchTime
}
