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

// placementRequest is all that decides whether a task finds a machine. After one task found
// none, equal requests need no search in the same round: free resources only shrink during a
// round.
type placementRequest struct {
	resources     placement.Resources
	priority      wire.Priority
	spot          bool
	zone          ids.Zone
	image         ids.Image          // "" unless the machine must hold the image or a zone recovers
	openZones     uint64             // bit set of the zones that the spread of the job allows
	gate          zoneAdmissionClass // what the gates of recovering zones depend on
	tasksTogether int                // how many tasks must fit at once
}

// searcher makes the searches for machines and scores them for tasks. It changes no state
// but the count of machines examined.
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

// requestOf is the request of a job's next task while its other tasks are in the given zones;
// ok is false if the result for this job may differ from that for an equal request.
func (s *searcher) requestOf(j *cluster.Job, at placement.TasksByZone) (request placementRequest, ok bool) {
	spec := j.Spec
	if len(spec.Types) > 0 || len(s.candidates.zones) > maxRequestZones || j.Queue.ReservedSince != 0 {
		// Machines may be reserved for this job alone, so an equal request of another job
		// says nothing about it.
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
	if request.gate, ok = s.zones.admissionClass(j); request.gate.evaluated {
		request.image = spec.Image
	}
	return request, ok
}

// needsImage tells whether a job may only use machines that hold its image. To fetch it takes
// longer than to preempt tasks where it is.
func (s *searcher) needsImage(j *cluster.Job) bool {
	return s.queue.latencySensitive(j) && !j.Queue.AllowColdStart
}

// candidateSearch finds machines for the tasks of one job, one after the other. It scores all
// machines once, and later only those that took a task.
type candidateSearch struct {
	*searcher
	job        *cluster.Job
	need       placement.Resources
	heaps      []*zoneHeap
	replicasOn map[*cluster.Machine]int // tasks of a service by machine
}

// candidate is a machine with its score, without the part that depends on the zone.
type candidate struct {
	machine  *cluster.Machine
	score    float64
	position int // in the list of machines; decides between equal scores
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

// allows tells whether a machine has free resources for a task of the job and may be used for
// it.
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

// bestIn finds the best machine of a zone for a task, with its present score. It skips
// machines whose newest heartbeat shows an earlier attempt of the task.
func (s *candidateSearch) bestIn(z *zoneHeap, index int) (top candidate, ok bool) {
	ref := ids.TaskRef{Job: s.job.ID, Index: index}
	var skipped []candidate
	for z.Len() > 0 && z.list[0].machine.ReportsTask(ref) {
		skipped = append(skipped, heap.Pop(z).(candidate))
	}
	if z.Len() > 0 && s.zones.admits(s.job, index, z.list[0].machine) {
		top, ok = z.list[0], true
		s.candidates.examined++
		top.score = s.score(top.machine, s.job.Zones()[z.zone])
	}
	for _, c := range skipped {
		heap.Push(z, c)
	}
	return top, ok
}

// reinsert updates the rank of a machine that was given a task.
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

// offer describes a machine for the scoring.
func (s *searcher) offer(j *cluster.Job, m *cluster.Machine) placement.Candidate {
	now := s.clock.Now()
	failedRecently := len(m.Health.FailuresByJob) > 0 && now < m.Health.LastFailure.Add(quarantinePeriod)
	o := placement.Candidate{
		Site:             m.Site(),
		Free:             m.Free(),
		Total:            m.Total(),
		Cached:           m.HasImage(j.Spec.Image),
		Suspect:          j.Failures.AntiAffinity[m.ID] != 0 || now < m.Health.SlowUntil || failedRecently,
		LatencySensitive: s.queue.latencySensitive(j),
		Unproven:         s.zones.recovering(m.Zone()),
		Preferred:        j.Queue.PreferredZone == m.Zone() && m.Zone() != "" && now < j.Queue.PreferredUntil,
		RunsServices:     m.Replicas() > 0,
		Fetching:         m.Fetches(j.Spec.Image) > 0,
	}
	if m.Spot() {
		o.SpotRisk = s.spot.spotRisk(j)
	}
	return o
}
