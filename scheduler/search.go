package scheduler

import (
	"container/heap"
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// placementRequest is all that decides whether a task finds a machine. Once one task found
// none, the rest of the round need not look again for its like: room only shrinks during a
// round.
type placementRequest struct {
	resources     placement.Resources
	priority      wire.Priority
	spot          bool
	zone          ids.Zone
	image         ids.Image // where only machines that hold it will do
	openZones     uint64    // the zones that the job's other tasks leave open
	gate          gateClass // what zones that return look at
	tasksTogether int       // how many must find room together
}

// searcher makes the searches for machines, and knows what their scores depend on.
type searcher struct {
	clock        *clock.Clock
	candidates   *candidateList
	queue        *jobQueue
	reservations *reservations
	zones        zoneAdmission
	spot         spotRisks
}

// spotRisks estimates how likely a job's tasks are to lose a spot instance.
type spotRisks interface {
	spotRisk(j *cluster.Job) float64
}

// maxRequestZones is how many zones a placementRequest can tell apart.
const maxRequestZones = 64

// requestOf is the request of a job's next task, given where its others are; ok is
// false for a job that is like no other.
func (s *searcher) requestOf(j *cluster.Job, at placement.TasksByZone) (request placementRequest, ok bool) {
	spec := j.Spec
	if len(spec.Types) > 0 || len(s.candidates.zones) > maxRequestZones || j.Queue.ReservedSince != 0 {
		// Machines that are reserved for a job are there for no other: one like it
		// that found none must not keep the job from them.
		return placementRequest{}, false
	}
	request = placementRequest{resources: placement.TaskResources(spec), priority: j.Priority(), spot: spec.Spot, zone: spec.Zone}
	if s.needsImage(j) {
		request.image = spec.Image
	}
	if j.NeedsAllTasks() {
		request.tasksTogether = len(j.Pending())
	}
	for i, zone := range s.candidates.zones {
		if at.Allows(spec, zone) {
			request.openZones |= 1 << i
		}
	}
	if request.gate, ok = s.zones.requestPart(j); request.gate.evaluated {
		request.image = spec.Image
	}
	return request, ok
}

// needsImage tells whether only machines that hold its image will do for a job: fetching it
// takes longer than making room where it is.
func (s *searcher) needsImage(j *cluster.Job) bool {
	return s.queue.latencySensitive(j) && !j.Queue.AllowColdStart
}

// candidateSearch finds machines for the tasks of one job, one after the other. All
// machines are looked at once; after that only those that took a task.
type candidateSearch struct {
	*searcher
	job        *cluster.Job
	need       placement.Resources
	heaps      []*zoneHeap
	replicasOn map[*cluster.Machine]int // tasks of a service by machine
}

// candidate is a machine with its score, less what the zone counts for.
type candidate struct {
	machine  *cluster.Machine
	score    float64
	position int // in the order of hosts, which decides between equals
}

// zoneHeap holds the candidates of a zone, the best on top.
type zoneHeap struct {
	zone ids.Zone
	list []candidate
}

// Len implements heap.Interface.
func (z *zoneHeap) Len() int { return len(z.list) }

// Less implements heap.Interface; the best candidate is the least.
func (z *zoneHeap) Less(i, k int) bool {
	a, b := &z.list[i], &z.list[k]
	return a.score > b.score || a.score == b.score && a.position < b.position
}

// Swap implements heap.Interface.
func (z *zoneHeap) Swap(i, k int) { z.list[i], z.list[k] = z.list[k], z.list[i] }

// Push implements heap.Interface.
func (z *zoneHeap) Push(x any) { z.list = append(z.list, x.(candidate)) }

// Pop implements heap.Interface.
func (z *zoneHeap) Pop() any {
	last := z.list[len(z.list)-1]
	z.list = z.list[:len(z.list)-1]
	return last
}

// newSearch ranks the machines that may take a task of a job.
func (s *searcher) newSearch(j *cluster.Job) *candidateSearch {
	search := &candidateSearch{searcher: s, job: j, need: placement.TaskResources(j.Spec)}
	if j.Spec.Service {
		search.replicasOn = map[*cluster.Machine]int{}
		for _, a := range j.Active() {
			search.replicasOn[a.Machine]++
		}
	}
	needsImage := s.needsImage(j)
	s.candidates.examined += uint64(len(s.candidates.machines))
	for position, m := range s.candidates.machines {
		if !search.allows(m) || needsImage && !m.HasImage(j.Spec.Image) {
			continue
		}
		z := search.heapOf(m.Zone())
		z.list = append(z.list, candidate{m, search.score(m, 0), position})
	}
	for _, z := range search.heaps {
		heap.Init(z)
	}
	return search
}

// allows tells whether a machine has room for a task of the job and may be used for it.
func (s *candidateSearch) allows(m *cluster.Machine) bool {
	j := s.job
	if !s.need.FitsIn(m.Free()) || !placement.Allowed(j.Spec, m.Site()) {
		return false
	}
	if j.Queue.OnlyZone != "" && m.Zone() != j.Queue.OnlyZone {
		return false
	}
	return !s.reservations.reservedForOther(m, j)
}

// heapOf finds the heap of a zone, or makes one.
func (s *candidateSearch) heapOf(zone ids.Zone) *zoneHeap {
	for _, z := range s.heaps {
		if z.zone == zone {
			return z
		}
	}
	z := &zoneHeap{zone: zone}
	s.heaps = append(s.heaps, z)
	return z
}

// score rates a machine for a task of the job; sameZone counts the job's tasks in its
// zone.
func (s *candidateSearch) score(m *cluster.Machine, sameZone int) float64 {
	o := s.offer(s.job, m)
	o.SameJob, o.SameZone = s.replicasOn[m], sameZone
	return placement.Score(s.job.Spec, &o)
}

// next chooses the best machine for a task, or nil.
func (s *candidateSearch) next(index int) *cluster.Machine {
	var best candidate
	for _, z := range s.heaps {
		if !s.job.Zones().Allows(s.job.Spec, z.zone) {
			continue
		}
		top, ok := s.bestIn(z, index)
		if !ok {
			continue
		}
		if best.machine == nil || top.score > best.score || top.score == best.score && top.position < best.position {
			best = top
		}
	}
	return best.machine
}

// bestIn finds the best machine of a zone for a task, with its present score. Machines that
// still report an earlier attempt of the task are passed over.
func (s *candidateSearch) bestIn(z *zoneHeap, index int) (top candidate, ok bool) {
	ref := ids.TaskRef{Job: s.job.ID, Index: index}
	var aside []candidate
	for z.Len() > 0 && z.list[0].machine.ReportsTask(ref) {
		aside = append(aside, heap.Pop(z).(candidate))
	}
	if z.Len() > 0 && s.zones.admits(s.job, index, z.list[0].machine) {
		top, ok = z.list[0], true
		s.candidates.examined++
		top.score = s.score(top.machine, s.job.Zones()[z.zone])
	}
	for _, a := range aside {
		heap.Push(z, a)
	}
	return top, ok
}

// reinsert brings a machine that was given a task back to its rank.
func (s *candidateSearch) reinsert(m *cluster.Machine) {
	if s.replicasOn != nil {
		s.replicasOn[m]++
	}
	z := s.heapOf(m.Zone())
	i := slices.IndexFunc(z.list, func(c candidate) bool { return c.machine == m })
	if !s.need.FitsIn(m.Free()) {
		heap.Remove(z, i)
		return
	}
	z.list[i].score = s.score(m, 0)
	heap.Fix(z, i)
}

// offer describes a machine to the scoring.
func (s *searcher) offer(j *cluster.Job, m *cluster.Machine) placement.Candidate {
	now := s.clock.Now()
	failedLately := len(m.Health.FailuresByJob) > 0 && now < m.Health.LastFailure.Add(quarantinePeriod)
	o := placement.Candidate{
		Site:             m.Site(),
		Free:             m.Free(),
		Total:            m.Total(),
		Cached:           m.HasImage(j.Spec.Image),
		Suspect:          j.Failures.AntiAffinity[m.ID] != 0 || now < m.Health.SlowUntil || failedLately,
		LatencySensitive: s.queue.latencySensitive(j),
		Unproven:         s.zones.unproven(m.Zone()),
		Preferred:        j.Queue.PreferredZone == m.Zone() && m.Zone() != "" && now < j.Queue.PreferredUntil,
		RunsServices:     m.Replicas() > 0,
		Fetching:         m.Fetches(j.Spec.Image) > 0,
	}
	if m.Spot() {
		o.SpotRisk = s.spot.spotRisk(j)
	}
	return o
}
