package cluster

import (
	"maps"
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// CachedImage represents an image that a machine's cache is expected to hold.
type CachedImage struct {
	SizeGB float64
	UsedAt monotonic.Instant
}

// HasImage reports whether the machine's cache is expected to hold an image.
func (m *Machine) HasImage(image ids.Image) bool { return m.images[image] != nil }

// Image returns the entry of an image that the machine's cache is expected to hold, or nil. The
// caller must not modify it.
func (m *Machine) Image(image ids.Image) *CachedImage { return m.images[image] }

// FetchesImageOtherThan reports whether the machine is fetching an image other than the given one.
func (m *Machine) FetchesImageOtherThan(except ids.Image) bool {
	for _, a := range m.assignments {
		if image := a.Job.Spec.Image; image != except && a.stopReason == StopNone && a.Run.Phase != wire.TaskRunning && m.images[image] == nil {
			return true
		}
	}
	return false
}

// TouchImage records that a cached image is used now.
func (s *State) TouchImage(m *Machine, image ids.Image) {
	if cached := m.images[image]; cached != nil {
		cached.UsedAt = s.clock.Now()
	}
}

// RecordImage records that a machine holds a job's image, and evicts the least recently used images
// that exceed the size of its cache, as the agent does.
func (s *State) RecordImage(m *Machine, spec *wire.JobSpec) {
	m.images[spec.Image] = &CachedImage{spec.ImageGB, s.clock.Now()}
	if m.machineType == nil || m.machineType.CacheGB <= 0 {
		return
	}
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(m.images)) {
		sum += m.images[name].SizeGB
	}
	for sum > m.machineType.CacheGB && len(m.images) > 1 {
		oldest := m.leastRecentlyUsedImage()
		sum -= m.images[oldest].SizeGB
		delete(m.images, oldest)
	}
}

// leastRecentlyUsedImage returns the image that was used least recently. Images that were last used
// at the same time are ordered by name.
func (m *Machine) leastRecentlyUsedImage() ids.Image {
	var oldest ids.Image
	for name, im := range m.images {
		if o := m.images[oldest]; o == nil || im.UsedAt < o.UsedAt || im.UsedAt == o.UsedAt && name < oldest {
			oldest = name
		}
	}
	return oldest
}
