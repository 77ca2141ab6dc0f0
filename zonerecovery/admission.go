package zonerecovery

// Admission represents the decision on a StartRequest: Admitted, or the reason for which the task is
// denied.
type Admission uint8

// The decisions on a StartRequest.
const (
	Admitted Admission = iota
	// DeniedByOperator means that an operator's hold is in force.
	DeniedByOperator
	// DeniedSuspect and DeniedOutage mean that no task may start in the zone's condition.
	DeniedSuspect
	DeniedOutage
	// DeniedUnrecorded means that the record of the condition is not committed yet.
	DeniedUnrecorded
	// DeniedWindow means that a window for critical work is open.
	DeniedWindow
	// DeniedProbeOnly means that the recovery is in its probe, and the task is not eligible.
	DeniedProbeOnly
	// DeniedStartLimit and DeniedFetchLimit mean that too many starts or image fetches are in
	// flight.
	DeniedStartLimit
	DeniedFetchLimit
	// DeniedFailbackBudget means that the job has returned to the zone as often as its budget
	// allows, and was displaced again.
	DeniedFailbackBudget
)

// admissionNames holds the names that are shown to operators.
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

// String returns the name of the decision for operators.
func (a Admission) String() string { return nameOf(admissionNames, "denial", a) }

// deniedByRamp reports whether a later step of the recovery may admit the task.
func (a Admission) deniedByRamp() bool {
	return a == DeniedProbeOnly || a == DeniedStartLimit || a == DeniedFetchLimit
}

// admit returns whether a task may start in the zone now. It records whether a task was denied that
// a later step may admit.
func (z *zone) admit(request *StartRequest) Admission {
	admission := z.decideAdmission(request)
	if admission.deniedByRamp() {
		z.machine.ramp.denied = true
	}
	return admission
}

// decideAdmission applies the rules that are common to all conditions, and then those of a recovery.
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
		return Admitted // the start shares the fetch that is in flight
	case request.MachineFetching || len(z.starts.fetches) >= z.policy.fetchLimit(step, reachable):
		return DeniedFetchLimit
	}
	return Admitted
}
