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

// placementRequest holds all properties that decide whether a machine is found for a task. After
// no machine was found for one task, equal requests need no search in the same round, because
// free resources only shrink during a round.
type placementRequest struct {
	resources     placement.Resources
	priority      wire.Priority
	spot          bool
	zone          ids.Zone
	image         ids.Image          // "" unless the machine must hold the image or a zone is recovering
	allowedZones  uint64             // bit set of the zones in which the spread of the job allows a task
	gate          zoneAdmissionClass // properties that the admission of recovering zones depends on
	tasksTogether int                // number of tasks that must be placed at once; 0: task by task
	types         string             // see placement.TypesKey
}

// searcher creates searches for machines and scores machines for tasks. The only state that it
// changes is the count of machines examined.
type searcher struct {
	clock        *clock.Clock
	candidates   *candidateList
	queue        *jobQueue
	reservations *reservations
	zones        zoneAdmission
	spot         spotRisks
}

// spotRisks estimates how likely it is that a job's tasks lose a spot instance.
type spotRisks interface {
	spotRisk(j *cluster.Job) float64
}

// maxRequestZones is the number of zones that a placementRequest can distinguish.
const maxRequestZones = 64

// requestOf returns the request of a job's next task while its other tasks are in the given
// zones. ok is false if a search for this job may have a different result than a search for an
// equal request.
func (s *searcher) requestOf(j *cluster.Job, tasksByZone placement.TasksByZone) (request placementRequest, ok bool) {
	spec := j.Spec
	if len(s.candidates.zones) > maxRequestZones || j.Queue.ReservedSince != 0 {
		// A request holds no more than maxRequestZones zones. Machines may be reserved for this job
		// alone, so an equal request of another job may have a different result.
		return placementRequest{}, false
	}
	request = placementRequest{resources: j.TaskResources(), priority: j.Priority(), spot: spec.Spot, zone: spec.Zone,
		types: placement.TypesKey(spec)}
	if s.needsImage(j) {
		request.image = spec.Image
	}
	if j.NeedsAllTasks() {
		request.tasksTogether = len(j.Pending())
	}
	for i, zone := range s.candidates.zones {
		if tasksByZone.Allows(spec, zone) {
			request.allowedZones |= 1 << i
		}
	}
	if request.gate, ok = s.zones.admissionClass(j); request.gate.evaluated {
		request.image = spec.Image
	}
	return request, ok
}

// needsImage reports whether a job may only use machines that hold its image. Fetching the image
// takes longer than preempting tasks on a machine that holds it.
func (s *searcher) needsImage(j *cluster.Job) bool {
	return s.queue.latencySensitive(j) && !j.Queue.AllowColdStart
}

// candidateSearch finds machines for the tasks of one job, one task after the other. It scores
// all machines once, and afterwards only those on which a task was placed.
type candidateSearch struct {
	*searcher
	job        *cluster.Job
	need       placement.Resources
	heaps      []*zoneHeap
	replicasOn map[*cluster.Machine]int // replicas of the job by machine; nil unless it is a service
}

// candidate holds a machine and its score, without the part of the score that depends on how many
// of the job's tasks are in the zone.
type candidate struct {
	machine  *cluster.Machine
	score    float64
	position int // in the list of machines; breaks ties between equal scores
}

// zoneHeap holds the candidates of a zone as a heap with the best candidate on top.
type zoneHeap struct {
	zone ids.Zone
	list []candidate
}

// Len implements heap.Interface.
func (z *zoneHeap) Len() int { return len(z.list) }

// Less implements heap.Interface. The best candidate is the least element.
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

// newSearch returns a search that ranks the machines on which a task of a job may be placed.
func (s *searcher) newSearch(j *cluster.Job) *candidateSearch {
	search := &candidateSearch{searcher: s, job: j, need: j.TaskResources()}
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

// allows reports whether a machine has free resources for a task of the job and the job may use
// the machine.
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

// heapOf returns the heap of a zone. It creates the heap if there is none.
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

// score returns the score of a machine for a task of the job. sameZone is the number of the job's
// tasks in the machine's zone.
func (s *candidateSearch) score(m *cluster.Machine, sameZone int) float64 {
	c := s.placementCandidate(s.job, m)
	c.SameJob, c.SameZone = s.replicasOn[m], sameZone
	return placement.Score(s.job.Spec, &c)
}

// next returns the best machine for a task, or nil if no machine fits.
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

// bestIn returns the best candidate of a zone for a task, with its current score. It skips
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

// updateRank updates the rank of a machine on which a task was placed. It removes the machine if no
// further task fits.
func (s *candidateSearch) updateRank(m *cluster.Machine) {
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

// placementCandidate returns the properties of a machine that its score depends on.
func (s *searcher) placementCandidate(j *cluster.Job, m *cluster.Machine) placement.Candidate {
	now := s.clock.Now()
	failedRecently := len(m.Health.FailuresByJob) > 0 && now < m.Health.LastFailure.Add(quarantinePeriod)
	c := placement.Candidate{
		Site:             m.Site(),
		Free:             m.Free(),
		Total:            m.Total(),
		Cached:           m.HasImage(j.Spec.Image),
		Suspect:          j.Failures.AntiAffinity[m.ID] != 0 || now < m.Health.SlowUntil || failedRecently,
		LatencySensitive: s.queue.latencySensitive(j),
		ZoneUnproven:     s.zones.recovering(m.Zone()),
		InPreferredZone:  j.Queue.PreferredZone == m.Zone() && m.Zone() != "" && now < j.Queue.PreferredUntil,
		RunsServices:     m.Replicas() > 0,
		Fetching:         m.NotStoppingWithImage(j.Spec.Image) > 0,
	}
	if m.Spot() {
		c.SpotRisk = s.spot.spotRisk(j)
	}
	return c
}
