package placement

import "ospreystile.example/ospreystile/wire"

// Candidate holds the properties of a machine that matter for the placement of a task on it.
type Candidate struct {
	Site
	Free, Total      Resources
	Cached           bool    // the machine has the image
	Fetching         bool    // the machine is fetching the image
	SameJob          int     // replicas of the same service on the machine; 0 for other jobs
	SameZone         int     // tasks of the same job in the zone
	RunsServices     bool    // the machine runs services, so it is not terminated
	LatencySensitive bool    // the job's tasks must start faster than a machine boots
	SpotRisk         float64 // expected number of reclaims of a spot instance while the task runs
	Suspect          bool    // tasks failed on the machine, or it runs them slowly
	InPreferredZone  bool    // the task is a replica that was stopped to be moved to this zone
	ZoneUnproven     bool    // the zone had an outage and its recovery is not proven yet
}

// The weights of Score, in points. Only their ratios matter.
const (
	// cachedImageBonus is for a machine that has the image. For latency-sensitive tasks,
	// urgentImageBonus applies instead. It outweighs the difference between spot and
	// on-demand machines.
	cachedImageBonus = 25.0
	urgentImageBonus = 100.0
	// fetchingFraction is the fraction of the bonus for a machine that is fetching the image.
	fetchingFraction = 0.4

	// servicesBonus is for a machine that already runs services. One more task costs nothing there,
	// while a service on another machine prevents that machine from being terminated.
	servicesBonus = 20.0

	// spotBonus is for a job that may use spot instances on a spot instance. It is reduced by
	// spotRiskWeight times the risk of a reclaim, at most by maxSpotRiskPenalty. On an on-demand
	// machine, such a job takes resources from jobs that may not use spot instances.
	spotBonus          = 60.0
	spotRiskWeight     = 800.0
	maxSpotRiskPenalty = 200.0

	// suspectPenalty outweighs all bonuses together.
	suspectPenalty = 500.0
	// preferredZoneBonus outweighs all other bonuses together.
	preferredZoneBonus = 300.0
	// unprovenZonePenalty is for a service in a zone whose recovery is not proven yet. It outweighs
	// cachedImageBonus, but not urgentImageBonus.
	unprovenZonePenalty = 40.0

	// sameMachinePenalty and sameZonePenalty apply for each replica of the service that is already
	// on the machine or in the zone.
	sameMachinePenalty = 15.0
	sameZonePenalty    = 5.0

	// fullMachineBonus is for a machine that the task fills, in proportion to the CPUs in use.
	fullMachineBonus = 10.0
)

// Score returns the score of a candidate for a task of a job. The candidate with the highest score is
// tried first. Score does not check whether the task fits. The terms are added in a fixed order,
// because the rounding of their sum decides between candidates that are nearly equal.
func Score(s *wire.JobSpec, c *Candidate) float64 {
	score := imageScore(c)
	if c.RunsServices && !c.Spot {
		score += servicesBonus
	}
	if s.Spot && c.Spot && !c.LatencySensitive {
		score += spotBonus - min(maxSpotRiskPenalty, spotRiskWeight*c.SpotRisk)
	}
	if c.Suspect {
		score -= suspectPenalty
	}
	if c.InPreferredZone {
		score += preferredZoneBonus
	}
	if s.Service {
		score -= unprovenPenalty(c)
		score -= sameMachinePenalty*float64(c.SameJob) + sameZonePenalty*float64(c.SameZone)
	}
	return score + packingScore(s, c)
}

// imageScore returns the bonus of a machine that has the image or is fetching it.
func imageScore(c *Candidate) float64 {
	bonus := cachedImageBonus
	if c.LatencySensitive {
		bonus = urgentImageBonus
	}
	switch {
	case c.Cached:
		return bonus
	case c.Fetching:
		return bonus * fetchingFraction
	default:
		return 0
	}
}

// unprovenPenalty returns the penalty of a service for a zone whose recovery is not proven yet.
func unprovenPenalty(c *Candidate) float64 {
	if c.ZoneUnproven {
		return unprovenZonePenalty
	}
	return 0
}

// packingScore returns a bonus for bin packing: the fewer CPUs remain free on the machine, the higher.
func packingScore(s *wire.JobSpec, c *Candidate) float64 {
	if c.Total.CPUs <= 0 {
		return 0
	}
	remaining := (c.Free.CPUs - s.CPUs) / c.Total.CPUs
	return fullMachineBonus * (1 - remaining)
}
