package placement

import "ospreystile.example/ospreystile/wire"

// Candidate is one machine as it looks to a task that needs a place.
type Candidate struct {
	Site
	Free, Total      Resources
	Cached           bool    // the machine has the image
	Fetching         bool    // the machine fetches the image
	SameJob          int     // tasks of the same job on the machine
	SameZone         int     // tasks of the same job in the zone
	RunsServices     bool    // services keep the machine from being terminated
	LatencySensitive bool    // tasks of the job's class must start within seconds
	SpotRisk         float64 // chance that a spot machine is reclaimed during the task
	Suspect          bool    // the machine failed tasks or runs them slowly
	PreferredZone    bool    // a replica was stopped to be moved to this zone
	ZoneUnproven     bool    // the zone had an outage and its recovery is not proven
}

// Weights of Score, in points. Only their proportions count.
const (
	// cachedImageBonus is for a machine that has the image. For tasks that must start within
	// seconds it is urgentImageBonus, which outweighs the kind of machine.
	cachedImageBonus = 25.0
	urgentImageBonus = 100.0
	// fetchingFraction is the part of the bonus for a machine that fetches the image.
	fetchingFraction = 0.4

	// servicesBonus is for a machine that services keep already. One more task costs nothing
	// there, while a service elsewhere keeps another machine from being terminated.
	servicesBonus = 20.0

	// spotBonus is for spot work on a spot machine, less spotRiskWeight times its risk up to
	// maxSpotRiskPenalty. Spot work on ordinary machines takes resources from work that
	// may not use spot.
	spotBonus          = 60.0
	spotRiskWeight     = 800.0
	maxSpotRiskPenalty = 200.0

	// suspectPenalty outweighs all else together.
	suspectPenalty = 500.0
	// preferredZoneBonus outweighs all but suspectPenalty.
	preferredZoneBonus = 300.0
	// unprovenZonePenalty is for a service in a zone whose recovery is not proven: more than
	// a cached image, less than one where tasks must start within seconds.
	unprovenZonePenalty = 40.0

	// sameMachinePenalty and sameZonePenalty are for each replica of a service that is
	// already there.
	sameMachinePenalty = 15.0
	sameZonePenalty    = 5.0

	// fullMachineBonus is for a machine that the task fills, in proportion to its CPUs.
	fullMachineBonus = 10.0
)

// Score ranks candidates for a task of a job; the largest goes first. It does not check
// whether the task fits. The terms are added in a fixed order, since the rounding of their sum
// decides between candidates that are nearly alike.
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
	if c.PreferredZone {
		score += preferredZoneBonus
	}
	if s.Service {
		score -= unprovenPenalty(c)
		score -= sameMachinePenalty*float64(c.SameJob) + sameZonePenalty*float64(c.SameZone)
	}
	return score + packingScore(s, c)
}

// imageScore prefers machines that have the image, or will have it soon.
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

// unprovenPenalty is the penalty of a service for the zone of a machine.
func unprovenPenalty(c *Candidate) float64 {
	if c.ZoneUnproven {
		return unprovenZonePenalty
	}
	return 0
}

// packingScore prefers the machine that the task leaves fullest.
func packingScore(s *wire.JobSpec, c *Candidate) float64 {
	if c.Total.CPUs <= 0 {
		return 0
	}
	remaining := (c.Free.CPUs - s.CPUs) / c.Total.CPUs
	return fullMachineBonus * (1 - remaining)
}
