package scheduler

import (
	"container/heap"
	"slices"

	"ospreystile.example/ospreystile/ids"
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

// requestOf is the shape of a job's next task, given where its others are; ok is
// false for a job that is like no other.
func (adm *admitter) requestOf(j *cluster.Job, at placement.TasksByZone) (sh placementRequest, ok bool) {
	s := j.Spec
	if len(s.Types) > 0 || len(adm.candidateZones) > 64 || j.Queue.ReservedSince != 0 {
		// Machines that are reserved for a job are there for no other: one like it
		// that found none must not keep the job from them.
		return placementRequest{}, false
	}
	sh = placementRequest{resources: placement.TaskResources(s), priority: j.Priority(), spot: s.Spot, zone: s.Zone}
	if adm.core.latencySensitive(j) && !j.Queue.AllowColdStart {
		sh.image = s.Image
	}
	if j.NeedsAllTasks() {
		sh.tasksTogether = len(j.Pending())
	}
	for i, z := range adm.candidateZones {
		if at.Allows(s, z) {
			sh.openZones |= 1 << i
		}
	}
	return sh, adm.core.zones.request(j, &sh)
}

// candidateSearch finds machines for the tasks of one job, one after the other. All
// machines are looked at once; after that only those that took a task.
type candidateSearch struct {
	core       *Core
	job        *cluster.Job
	need       placement.Resources
	zones      []*zoneHeap
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
func (adm *admitter) newSearch(j *cluster.Job) *candidateSearch {
	s := &candidateSearch{core: adm.core, job: j, need: placement.TaskResources(j.Spec)}
	if j.Spec.Service {
		s.replicasOn = map[*cluster.Machine]int{}
		for _, a := range j.Active() {
			s.replicasOn[a.Machine]++
		}
	}
	hasty := adm.core.latencySensitive(j) && !j.Queue.AllowColdStart
	adm.MachinesExamined += uint64(len(adm.candidates))
	for at, m := range adm.candidates {
		if !s.need.FitsIn(m.Free()) || !placement.Allowed(j.Spec, m.Site()) || j.Queue.OnlyZone != "" && m.Zone() != j.Queue.OnlyZone {
			continue
		}
		if adm.core.reservedForOther(m, j) {
			continue // it would never begin
		}
		if hasty && !m.HasImage(j.Spec.Image) {
			continue // a fetch takes longer than making room where the image is
		}
		z := s.zone(m.Zone())
		z.list = append(z.list, candidate{m, s.score(m, 0), at})
	}
	for _, z := range s.zones {
		heap.Init(z)
	}
	return s
}

// zone finds the heap of a zone, or makes one.
func (s *candidateSearch) zone(name ids.Zone) *zoneHeap {
	for _, z := range s.zones {
		if z.zone == name {
			return z
		}
	}
	z := &zoneHeap{zone: name}
	s.zones = append(s.zones, z)
	return z
}

// score rates a machine for a task of the job; sameZone counts the job's tasks in its
// zone.
func (s *candidateSearch) score(m *cluster.Machine, sameZone int) float64 {
	o := s.core.admission.offer(s.job, m)
	o.SameJob, o.SameZone = s.replicasOn[m], sameZone
	return placement.Score(s.job.Spec, &o)
}

// next chooses the best machine for a task, or nil.
func (s *candidateSearch) next(index int) *cluster.Machine {
	ref := ids.TaskRef{Job: s.job.ID, Index: index}
	var best candidate
	for _, z := range s.zones {
		if !s.job.Zones().Allows(s.job.Spec, z.zone) {
			continue
		}
		var aside []candidate
		for z.Len() > 0 && z.list[0].machine.ReportsTask(ref) {
			aside = append(aside, heap.Pop(z).(candidate))
		}
		if z.Len() > 0 && s.core.zones.admits(s.job, index, z.list[0].machine) {
			top := z.list[0]
			s.core.admission.MachinesExamined++
			top.score = s.score(top.machine, s.job.Zones()[z.zone])
			if best.machine == nil || top.score > best.score || top.score == best.score && top.position < best.position {
				best = top
			}
		}
		for _, a := range aside {
			heap.Push(z, a)
		}
	}
	return best.machine
}

// reinsert brings a machine that was given a task back to its rank.
func (s *candidateSearch) reinsert(m *cluster.Machine) {
	if s.replicasOn != nil {
		s.replicasOn[m]++
	}
	z := s.zone(m.Zone())
	i := slices.IndexFunc(z.list, func(c candidate) bool { return c.machine == m })
	if !s.need.FitsIn(m.Free()) {
		heap.Remove(z, i)
		return
	}
	z.list[i].score = s.score(m, 0)
	heap.Fix(z, i)
}

// offer describes a machine to the scoring.
func (adm *admitter) offer(j *cluster.Job, m *cluster.Machine) placement.Candidate {
	o := placement.Candidate{Site: m.Site(), Free: m.Free(), Total: m.Total(),
		Cached:  m.HasImage(j.Spec.Image),
		Suspect: j.Failures.AntiAffinity[m.ID] != 0 || adm.core.clock.Now() < m.Health.SlowUntil || len(m.Health.FailuresByJob) > 0 && adm.core.clock.Now() < m.Health.LastFailure.Add(quarantinePeriod)}
	if m.Spot() {
		o.SpotRisk = adm.core.autoscaler.spotRisk(j)
	}
	o.LatencySensitive = adm.core.latencySensitive(j)
	o.Unproven = adm.core.zones.unproven(m.Zone())
	o.Preferred = adm.core.prefers(j, m.Zone())
	o.RunsServices = m.Replicas() > 0
	o.Fetching = m.Fetches(j.Spec.Image) > 0
	return o
}
