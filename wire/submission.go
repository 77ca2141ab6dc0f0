package wire

import (
	"errors"
	"fmt"

	"ospreystile.example/ospreystile/ids"
)

// Limits of a submission.
const (
	maxTasks       = 100_000
	maxAmount      = 1e12
	maxNameLength  = 200 // bytes of a class, team or zone
	maxImageLength = 500 // bytes
	maxEnumLength  = 50  // bytes of an enumerated value
)

// ErrBodyTooLarge means that a body has more than MaxBodyBytes bytes.
var ErrBodyTooLarge = errors.New("body is too large")

// SubmissionError names the first field of a submitted job that is missing or invalid.
type SubmissionError struct {
	Field   string // name in the protocol
	Problem string // what the field must be, or is not
}

// Error returns the field and the problem.
func (e *SubmissionError) Error() string { return e.Field + ": " + e.Problem }

// ParseSubmission decodes and validates a job that a user submits to a controller. Only
// frames, hall, dueS and waitsOn may be missing or null. Unknown fields are ignored. The error
// is a *SubmissionError, or wraps ErrBodyTooLarge or ErrMalformedBody.
func ParseSubmission(body []byte) (ids.JobID, *JobSpec, error) {
	if len(body) > MaxBodyBytes {
		return "", nil, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrBodyTooLarge, len(body), MaxBodyBytes)
	}
	var values map[string]any
	if err := Decode(body, &values); err != nil {
		return "", nil, err
	}
	if values == nil {
		return "", nil, fmt.Errorf("%w: not a map", ErrMalformedBody)
	}
	submission := &submissionFields{values: values}
	id := submission.jobID()
	spec := submission.spec()
	if submission.err != nil {
		return "", nil, submission.err
	}
	return id, spec, nil
}

// jobID reads the job ID.
func (f *submissionFields) jobID() ids.JobID {
	id := ids.JobID(f.nonEmptyString("nameId", maxJobIDLength))
	if !ValidJobID(id) {
		f.fail("nameId", "is not a job id")
	}
	return id
}

// spec reads all fields except the job ID.
func (f *submissionFields) spec() *JobSpec {
	spec := &JobSpec{
		Class:            f.nonEmptyString("workclass", maxNameLength),
		Team:             ids.Team(f.nonEmptyString("crew", maxNameLength)),
		CPUs:             f.positiveAmount("cpus"),
		GPUs:             f.amount("accelerators"),
		MemoryGB:         f.amount("memoryGb"),
		Image:            ids.Image(f.nonEmptyString("bundle", maxImageLength)),
		ImageGB:          f.amount("pullGb"),
		Zone:             ids.Zone(f.optionalString("hall", maxNameLength)),
		OneZone:          f.boolean("oneZone"),
		Spread:           f.boolean("spread"),
		Spot:             f.boolean("loaner"),
		EstimateS:        f.amount("expectS"),
		CheckpointEveryS: f.amount("snapshotEveryS"),
		CheckpointS:      f.amount("snapshotS"),
	}
	f.readShape(spec)
	spec.Priority = f.priority()
	spec.Tasks = f.taskCount()
	spec.Types = f.machineTypes()
	spec.DependsOn = f.dependencies()
	spec.DeadlineS = f.optionalAmount("dueS")
	return spec
}

// readShape sets whether the job is a service, a gang or neither. In the protocol this is
// one enumerated field.
func (f *submissionFields) readShape(spec *JobSpec) {
	switch f.nonEmptyString("shape", maxEnumLength) {
	case "batch":
	case "standing":
		spec.Service = true
	case "ensemble":
		spec.Gang = true
	default:
		f.fail("shape", "is not a known shape")
	}
}

// priority reads the job's priority.
func (f *submissionFields) priority() Priority {
	priority, known := priorities[f.nonEmptyString("urgency", maxEnumLength)]
	if !known {
		f.fail("urgency", "is not a known priority")
	}
	return priority
}

// taskCount reads the number of tasks.
func (f *submissionFields) taskCount() int {
	count, ok := integer(f.values["legs"])
	if !ok || count < 1 || count > maxTasks {
		f.fail("legs", fmt.Sprintf("must be a count from 1 to %d", maxTasks))
	}
	return int(count)
}

// machineTypes reads the machine types that the job may use. It returns nil, which means any
// type, if the field is null or absent. An empty list would allow no machine and is an error.
func (f *submissionFields) machineTypes() []ids.MachineType {
	const problem = "must be a list of names or null"
	values, given := f.optionalList("frames", problem)
	if given && len(values) == 0 {
		f.fail("frames", problem)
	}
	var types []ids.MachineType
	for _, value := range values {
		name, _ := value.(string)
		if name == "" {
			f.fail("frames", problem)
			return nil
		}
		types = append(types, ids.MachineType(name))
	}
	return withoutDuplicates(types)
}

// dependencies reads the jobs that must be done before this one starts. It returns nil if
// there are none; an empty list is valid.
func (f *submissionFields) dependencies() []ids.JobID {
	const problem = "must be a list of job ids or null"
	values, _ := f.optionalList("waitsOn", problem)
	var jobs []ids.JobID
	for _, value := range values {
		name, _ := value.(string)
		if !ValidJobID(ids.JobID(name)) {
			f.fail("waitsOn", problem)
			return nil
		}
		jobs = append(jobs, ids.JobID(name))
	}
	return withoutDuplicates(jobs)
}
