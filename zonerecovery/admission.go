package zonerecovery

// Admission is the answer to a StartRequest: Admitted, or why the task is denied.
type Admission uint8

// The answers to a StartRequest.
const (
	Admitted Admission = iota
	// DeniedByOperator: an operator holds the zone.
	DeniedByOperator
	// DeniedSuspect and DeniedOutage: the condition lets nothing start.
	DeniedSuspect
	DeniedOutage
	// DeniedUnrecorded: the condition is not committed yet.
	DeniedUnrecorded
	// DeniedWindow: a window for critical work is open.
	DeniedWindow
	// DeniedProbeOnly: the recovery admits only probes for now.
	DeniedProbeOnly
	// DeniedStartLimit and DeniedFetchLimit: too many starts or image fetches are in flight.
	DeniedStartLimit
	DeniedFetchLimit
	// DeniedFailbackBudget: the job returned to the zone before and was displaced again.
	DeniedFailbackBudget
)

// admissionNames are the names that operators are shown.
var admissionNames = []string{
	Admitted:             "admitted",
	DeniedByOperator:     "held by an operator",
	DeniedSuspect:        "suspect",
	DeniedOutage:         "dark",
	DeniedUnrecorded:     "the return is not recorded yet",
	DeniedWindow:         "a window for critical work",
	DeniedProbeOnly:      "only probes",
	DeniedStartLimit:     "starts under way",
	DeniedFetchLimit:     "fetches under way",
	DeniedFailbackBudget: "came back before",
}

// String returns the answer in words.
func (a Admission) String() string { return nameOf(admissionNames, "denial", a) }

// deniedByRamp reports whether a later step of the recovery may admit the task.
func (a Admission) deniedByRamp() bool {
	return a == DeniedProbeOnly || a == DeniedStartLimit || a == DeniedFetchLimit
}

// admit answers whether a task may start in the zone now. It notes tasks that a later step may
// admit.
func (z *zone) admit(request *StartRequest) Admission {
	admission := z.decideAdmission(request)
	if admission.deniedByRamp() {
		z.machine.ramp.denied = true
	}
	return admission
}

// decideAdmission applies the rules that hold in every condition.
func (z *zone) decideAdmission(request *StartRequest) Admission {
	condition := z.condition()
	switch {
	case z.override.holds():
		return DeniedByOperator
	case condition == Suspect:
		return DeniedSuspect
	case condition == Outage:
		return DeniedOutage
	case !z.record.allows(condition):
		return DeniedUnrecorded
	case z.displacements.denies(request, z.machine.observedAt):
		return DeniedFailbackBudget
	case condition == Serving || request.Critical:
		return Admitted
	}
	return z.decideInRecovery(request)
}

// decideInRecovery applies the limits of a recovery to a task that is not critical.
func (z *zone) decideInRecovery(request *StartRequest) Admission {
	ramp := &z.machine.ramp
	step, reachable := z.record.allowedStep(ramp.step), z.machine.detector.health.Reachable
	switch {
	case z.machine.window.isOpen():
		return DeniedWindow
	case step == probeStep && !request.ProbeEligible && !ramp.anyTaskMayProbe:
		return DeniedProbeOnly
	case z.starts.nonCritical >= z.policy.startLimit(step, reachable):
		return DeniedStartLimit
	case !request.NeedsFetch || z.starts.fetches[request.fetch()] > 0:
		return Admitted // a fetch that is in flight serves this start as well
	case request.MachineFetching || len(z.starts.fetches) >= z.policy.fetchLimit(step, reachable):
		return DeniedFetchLimit
	}
	return Admitted
}
