package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// This file measures what a zone's return costs with the subsystem off and on, in the
// simulation and scaled down to some 60 machines:
//
//	go test ./scheduler -run - -bench ZoneRecovery -benchtime 1x

// simCaches models images: a machine fetches each once, and the fetches of a zone share
// its link.
type simCaches struct {
	images map[*simWorker]map[ids.Image]bool
	// underWay and peak count the fetches of each zone, total those of the whole day.
	underWay, peak map[ids.Zone]int
	total          int
}

const (
	// linkFetches is how many fetches a zone's link carries at full speed.
	linkFetches = 4
	// lonelyFetch is how long a fetch takes at full speed, cachedStart a start without one.
	lonelyFetch = 2 * time.Second
	cachedStart = 50 * time.Millisecond
)

// fetch begins a fetch if the image is missing, and tells how long the task waits.
func (c *simCaches) fetch(s *sim, w *simWorker, image ids.Image) time.Duration {
	if c.images[w] == nil {
		c.images[w] = map[ids.Image]bool{}
	}
	if c.images[w][image] {
		return cachedStart
	}
	c.underWay[w.zone]++
	c.total++
	c.peak[w.zone] = max(c.peak[w.zone], c.underWay[w.zone])
	took := lonelyFetch * time.Duration(max(linkFetches, c.underWay[w.zone])) / linkFetches
	s.after(took, func() {
		c.underWay[w.zone]--
		c.images[w][image] = true
	})
	return took
}

// returnFigures are the measurements of one day.
type returnFigures struct {
	queriesUp, worstStart, share time.Duration
	peakFetches, fetches         int
	worstMoves                   int
}

// measureReturn plays a day on which zone b is lost and comes back cold while arrays of ten
// images wait and new queries come every three seconds.
func measureReturn(t testing.TB, seed uint64, on bool) returnFigures {
	m := &scenario{sim: newSim(nil, seed)}
	m.faults, m.capacity = false, 10
	for i := range m.opt.Teams {
		m.opt.Teams[i].Limit.CPUs, m.opt.Teams[i].Nominal.CPUs = 2000, 1000
	}
	m.opt.MaxMachines, m.opt.IdleTimeout, m.opt.WriteRate = 70, 10*time.Minute, 400
	m.zones.cutUntil = map[ids.Zone]monotonic.Instant{}
	if on {
		m.watchZones()
	} else {
		m.takeOver()
	}
	m.old = nil
	m.caches = &simCaches{images: map[*simWorker]map[ids.Image]bool{}, underWay: map[ids.Zone]int{}, peak: map[ids.Zone]int{}}
	var services, arrays []ids.JobID
	for n := range 12 {
		spec := zoneArray(6)
		spec.Service, spec.Spread, spec.Image, spec.Priority = true, true, "query", wire.High
		services = append(services, m.submitJob(spec))
		work := zoneArray(60)
		work.Image, work.Priority = ids.Image(fmt.Sprintf("work-%d", n)), wire.BestEffort
		arrays = append(arrays, m.submitJob(work))
	}
	m.runFactor = 4
	m.run(90 * s1)
	return m.loseAndReturn(t, services, arrays)
}

// loseAndReturn cuts zone b off and connects it again with empty caches.
func (m *scenario) loseAndReturn(t testing.TB, services, arrays []ids.JobID) (f returnFigures) {
	cut := m.now
	m.cutZone("b", 60*s1)
	for m.now < cut.Add(60*s1) {
		m.run(200 * time.Millisecond)
		if running, wanted := m.runningReplicas(services); m.now > cut.Add(simLease) && f.queriesUp == 0 && running == wanted {
			f.queriesUp = m.now.Sub(cut)
		}
	}
	for w := range m.caches.images {
		if w.zone == "b" {
			delete(m.caches.images, w)
		}
	}
	m.caches.peak["b"], m.caches.total = 0, 0
	back := m.now
	asked := map[ids.JobID]monotonic.Instant{}
	for m.now < back.Add(90*s1) {
		if m.now.Sub(back)%(3*s1) == 0 {
			spec := zoneArray(1)
			spec.Service, spec.Image, spec.Priority = true, "query", wire.High
			id := m.submitJob(spec)
			asked[id] = m.now
		}
		m.run(200 * time.Millisecond)
		for id, at := range asked {
			if j := m.core.cluster.Job(id); j != nil && m.startedRunning(j) {
				f.worstStart = max(f.worstStart, m.now.Sub(at))
				delete(asked, id)
			}
		}
		if f.share == 0 && m.carriesShare("b") {
			f.share = m.now.Sub(back)
		}
	}
	for _, at := range asked {
		f.worstStart = max(f.worstStart, m.now.Sub(at))
	}
	f.peakFetches, f.fetches = m.caches.peak["b"], m.caches.total
	for _, id := range append(slices.Clone(services), arrays...) {
		for _, p := range m.sent[id] {
			f.worstMoves = max(f.worstMoves, int(p.t.attempt)-1)
		}
	}
	if len(m.violations) > 0 {
		t.Fatalf("rules broken: %v", m.violations)
	}
	return f
}

// startedRunning tells whether a task of a job runs.
func (m *scenario) startedRunning(j *cluster.Job) bool {
	for _, a := range j.Active() {
		if a.Run.Phase == wire.TaskRunning {
			return true
		}
	}
	return false
}

// runningReplicas counts the replicas that run on machines that are heard.
func (m *scenario) runningReplicas(services []ids.JobID) (running, wanted int) {
	for _, id := range services {
		j := m.core.cluster.Job(id)
		wanted += len(j.Tasks())
		for _, a := range j.Active() {
			if a.Run.Phase == wire.TaskRunning && m.core.health.usable(a.Machine) {
				running++
			}
		}
	}
	return running, wanted
}

// carriesShare tells whether a zone's machines are as full as the others, but for a tenth.
func (m *scenario) carriesShare(zone ids.Zone) bool {
	var used, total, usedElsewhere, totalElsewhere float64
	for _, w := range m.core.cluster.Machines() {
		if !m.core.health.usable(w) {
			continue
		}
		if w.Zone() == zone {
			used, total = used+w.Used().CPUs, total+w.Total().CPUs
		} else {
			usedElsewhere, totalElsewhere = usedElsewhere+w.Used().CPUs, totalElsewhere+w.Total().CPUs
		}
	}
	return total > 0 && totalElsewhere > 0 && used/total >= 0.9*usedElsewhere/totalElsewhere
}

// BenchmarkZoneReturn reports the median, the least and the most over ten days.
func BenchmarkZoneReturn(b *testing.B) {
	const days = 10
	for _, on := range []bool{false, true} {
		b.Run(map[bool]string{false: "off", true: "on"}[on], func(b *testing.B) {
			for range b.N {
				var up, start, share, peak, fetches, moves []float64
				for seed := range uint64(days) {
					f := measureReturn(b, seed, on)
					up, start, share = append(up, f.queriesUp.Seconds()), append(start, f.worstStart.Seconds()), append(share, f.share.Seconds())
					peak, fetches, moves = append(peak, float64(f.peakFetches)), append(fetches, float64(f.fetches)), append(moves, float64(f.worstMoves))
				}
				b.Logf("queries up after the cut %s s, worst query start after the return %s s, share after %s s", spread(up), spread(start), spread(share))
				b.Logf("most fetches at once %s, fetches %s, most moves of a task %s", spread(peak), spread(fetches), spread(moves))
			}
		})
	}
}

// spread is the median of some figures, with the least and the most.
func spread(figures []float64) string {
	slices.Sort(figures)
	return fmt.Sprintf("%.1f (%.1f to %.1f)", figures[len(figures)/2], figures[0], figures[len(figures)-1])
}
