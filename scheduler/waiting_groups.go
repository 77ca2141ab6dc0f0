package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

const (
	// maxListedPerGroup is the number of jobs of one group that a round lists, and so places at most.
	maxListedPerGroup = 256
	// groupRescanInterval is the interval at which all jobs are examined for any that wait and that no event has
	// brought to the queue.
	groupRescanInterval = time.Second
)

// waitingGroups holds the jobs that may wait, so that a round need not examine all of them. Jobs that nothing
// distinguishes but their order form a group: if one of them does not fit, neither do those behind it. So only the first
// jobs of each group are listed in a round. All other jobs are listed one by one.
//
// A job enters when an event has marked it (cluster.State.MarkWaiting). It is removed once it is seen not to wait
// any more, so what ends or starts needs no event.
type waitingGroups struct {
	cluster *cluster.State
	// single holds the jobs that are in no group. Some of them may not wait at the moment.
	single []*cluster.Job
	groups []*waitingGroup
	byKey  map[waitingGroupKey]*waitingGroup
	// maxListed is the number of jobs of one group that a round lists.
	maxListed int
	// lastNumber is the number of the newest group.
	lastNumber int
	// scannedAt is the time at which all jobs were last examined.
	scannedAt monotonic.Instant
}

// waitingGroupKey holds all properties of a job without placement constraints that decide whether its tasks can be
// placed and how much they demand.
type waitingGroupKey struct {
	team      ids.Team
	class     string
	priority  wire.Priority
	resources placement.Resources
	tasks     int
	spot      bool
	zone      ids.Zone
	image     ids.Image
	types     string
	estimateS float64
}

// waitingGroup holds jobs with the same key that never started, in the order of the queue.
type waitingGroup struct {
	number int // never used again
	key    waitingGroupKey
	jobs   []groupedJob
	// lastListed is the last job that was listed in this round; nil if no further ones wait behind it.
	lastListed *cluster.Job
}

// groupedJob represents a job's place in a group. It is void once the job has another place.
type groupedJob struct {
	job     *cluster.Job
	orderMS int64
}

// compareGrouped orders the jobs of a group like the queue.
func compareGrouped(a, b groupedJob) int {
	if order := cmp.Compare(a.orderMS, b.orderMS); order != 0 {
		return order
	}
	return cmp.Compare(a.job.ID, b.job.ID)
}

// newWaitingGroups returns groups without jobs.
func newWaitingGroups(state *cluster.State) *waitingGroups {
	return &waitingGroups{cluster: state, byKey: map[waitingGroupKey]*waitingGroup{}, maxListed: maxListedPerGroup}
}

// list returns the jobs to examine in a round, in no particular order: of each group, at most as many as a limit.
func (g *waitingGroups) list(now monotonic.Instant, limit int) []*cluster.Job {
	if now >= g.scannedAt.Add(groupRescanInterval) {
		g.scannedAt = now
		g.rescan()
	}
	for _, j := range g.cluster.TakeMarkedWaiting() {
		g.place(j)
	}
	g.single = slices.DeleteFunc(g.single, func(j *cluster.Job) bool { return !g.staysSingle(j) })
	listed := slices.Clone(g.single)
	for _, group := range g.groups {
		listed = append(listed, g.first(group, limit)...)
	}
	g.groups = slices.DeleteFunc(g.groups, g.removeIfEmpty)
	return listed
}

// moreWait reports whether all jobs of a group that a round has listed are placed, and others wait behind them.
func (g *waitingGroups) moreWait() bool {
	return slices.ContainsFunc(g.groups, func(group *waitingGroup) bool {
		return group.lastListed != nil && len(group.lastListed.Pending()) == 0
	})
}

// rescan marks all jobs that may wait and have no place, or have become distinguishable. It forgets grouped jobs
// that have ended.
func (g *waitingGroups) rescan() {
	for _, j := range g.cluster.Jobs() {
		if j.Queue.Place == (cluster.WaitingPlace{}) {
			g.cluster.MarkWaiting(j)
		}
	}
	for _, group := range g.groups {
		group.jobs = slices.DeleteFunc(group.jobs, func(entry groupedJob) bool { return !group.holds(entry) || entry.job.Terminal() })
		for _, entry := range group.jobs {
			if !groupable(entry.job) {
				g.cluster.MarkWaiting(entry.job)
			}
		}
	}
}

// removeIfEmpty removes the key of a group that holds no job, and reports whether it did.
func (g *waitingGroups) removeIfEmpty(group *waitingGroup) bool {
	if len(group.jobs) > 0 {
		return false
	}
	delete(g.byKey, group.key)
	return true
}

// holds reports whether a job's place is still in the group.
func (group *waitingGroup) holds(entry groupedJob) bool {
	return entry.job.Queue.Place == cluster.WaitingPlace{Group: group.number, OrderMS: entry.orderMS}
}

// place gives a job that was marked its place. A job that does not wait gets none.
func (g *waitingGroups) place(j *cluster.Job) {
	if j.Terminal() || !j.Queue.Ready || len(j.Pending()) == 0 {
		return
	}
	if !groupable(j) {
		if !j.Queue.Place.Single {
			j.Queue.Place = cluster.WaitingPlace{Single: true}
			g.single = append(g.single, j)
		}
		return
	}
	group := g.group(waitingGroupKeyOf(j))
	place := cluster.WaitingPlace{Group: group.number, OrderMS: j.Queue.OrderMS}
	if j.Queue.Place == place {
		return
	}
	j.Queue.Place = place
	entry := groupedJob{job: j, orderMS: j.Queue.OrderMS}
	i, found := slices.BinarySearchFunc(group.jobs, entry, compareGrouped)
	if !found {
		group.jobs = slices.Insert(group.jobs, i, entry)
	}
}

// staysSingle reports whether a job still has its place among the single jobs. It takes the place away otherwise.
func (*waitingGroups) staysSingle(j *cluster.Job) bool {
	if !j.Queue.Place.Single {
		return false
	}
	if j.Terminal() || len(j.Pending()) == 0 {
		j.Queue.Place = cluster.WaitingPlace{}
		return false
	}
	return true
}

// first returns the first jobs of a group, up to a limit. It removes those that do not belong to it any more, and
// moves those that have become distinguishable to the single jobs, which the next round lists.
func (g *waitingGroups) first(group *waitingGroup, limit int) []*cluster.Job {
	var listed []*cluster.Job
	kept, read := 0, 0
	for read < len(group.jobs) && kept < limit {
		entry := group.jobs[read]
		read++
		switch j := entry.job; {
		case !group.holds(entry):
		case j.Terminal() || len(j.Pending()) == 0 || !groupable(j):
			j.Queue.Place = cluster.WaitingPlace{}
			if g.place(j); j.Queue.Place.Single {
				listed = append(listed, j)
			}
		default:
			group.jobs[kept] = entry
			kept++
			listed = append(listed, j)
		}
	}
	group.lastListed = nil
	if read < len(group.jobs) && kept > 0 {
		group.lastListed = group.jobs[kept-1].job
	}
	group.jobs = slices.Delete(group.jobs, kept, read)
	return listed
}

// group returns the group with a key, and creates it if there is none.
func (g *waitingGroups) group(key waitingGroupKey) *waitingGroup {
	group := g.byKey[key]
	if group == nil {
		g.lastNumber++
		group = &waitingGroup{number: g.lastNumber, key: key}
		g.groups = append(g.groups, group)
		g.byKey[key] = group
	}
	return group
}

// groupable reports whether a job is distinguished by nothing but its key and its order.
func groupable(j *cluster.Job) bool {
	spec := j.Spec
	if spec.Service || spec.Gang || spec.OneZone || spec.Spread || j.Started() {
		return false
	}
	failed := len(j.Failures.AntiAffinity) > 0 || j.Failures.FailedRounds > 0
	return !failed && j.Queue.RetryAt == 0 && j.Queue.ReservedSince == 0 && !j.Queue.AllowColdStart && !j.Queue.Suspended && j.Records.Refusals == 0
}

// waitingGroupKeyOf returns the key of a job.
func waitingGroupKeyOf(j *cluster.Job) waitingGroupKey {
	spec := j.Spec
	return waitingGroupKey{team: spec.Team, class: spec.Class, priority: j.Priority(), resources: j.TaskResources(), tasks: len(j.Pending()),
		spot: spec.Spot, zone: spec.Zone, image: spec.Image, types: placement.TypesKey(spec), estimateS: spec.EstimateS}
}
