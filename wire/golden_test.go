package wire

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/golden"
)

var msgpackCodec = golden.Codec{Encode: func(v any) ([]byte, error) { return Encode(v), nil }, Decode: Decode}

func goldenCommand() Command {
	return Command{Verb: VerbKill, Name: "job-1/3", Attempt: 4, GraceS: 5.5}
}

func goldenSpec() JobSpec {
	return JobSpec{Class: "train", Team: "vision", Service: true, Gang: true, Priority: High, Tasks: 70, CPUs: 8.5, GPUs: 1.5,
		MemoryGB: 64.5, Image: "img-07", ImageGB: 6.25, Types: []ids.MachineType{"g8", "g4"}, Zone: "zone-a", OneZone: true,
		Spread: true, Spot: true, EstimateS: 240.5, CheckpointEveryS: 30.5, CheckpointS: 4.5, DeadlineS: 900.5,
		DependsOn: []ids.JobID{"job-2", "job-3"}}
}

// The bodies that are exchanged with workers, users and the cloud, and the specification in job
// records, keep their encoding. Otherwise workers, the cloud and other versions could not read them.
func TestBodyEncoding(t *testing.T) {
	machine := Machine{ID: "n-000231", Endpoint: "10.0.0.9:9000", Type: "g8", Zone: "zone-a", Spot: true, Status: MachineRunning, AgeS: 71.5}
	notice := 25.5
	golden.Check(t, "bodies.json", msgpackCodec, []golden.Case{
		{Name: "job status", Value: JobStatus{ID: "job-1", Status: JobRunning, Done: 3, Running: 13}},
		{Name: "heartbeat", Value: Heartbeat{Machine: "n-000231", Endpoint: "10.0.0.9:9000", Type: "g8", Zone: "zone-a", Spot: true,
			Incarnation: 6, Sequence: 1 << 33, FencingToken: ids.NewFencingToken(412, 3), SpotNoticeS: &notice, Tasks: []TaskStatus{
				{Name: "job-1/3", Attempt: 2, State: TaskEnded, Cause: CauseDone, Checkpointed: true},
				{Name: "job-1/4", Attempt: 300, State: TaskCheckpointing, Cause: CauseError, Checkpointed: true}}}},
		{Name: "heartbeat without tasks or spot notice", Partial: true, Value: Heartbeat{Machine: "n-000231", Endpoint: "10.0.0.9:9000",
			Type: "g8", Zone: "zone-a", Incarnation: 6, Sequence: 8, FencingToken: 9, Tasks: []TaskStatus{}}},
		{Name: "heartbeat answer", Value: HeartbeatResponse{FencingToken: ids.NewFencingToken(412, 4), Commands: []Command{goldenCommand(),
			{Verb: VerbRun, Name: "job-4/7", Attempt: 70000, GraceS: 0.25}}}},
		{Name: "direct command", Value: CommandBatch{FencingToken: ids.NewFencingToken(412, 5), Incarnation: 6, Commands: []Command{goldenCommand()}}},
		{Name: "redirect", Value: Redirect{Target: "perch-1"}},
		{Name: "redirect to nobody", Value: Redirect{}, Partial: true},
		{Name: "catalog", Value: Catalog{Types: []MachineType{{Name: "g8", CPUs: 8.5, GPUs: 1.5, MemoryGB: 64.5, CacheGB: 200.5, FetchGBps: 0.75,
			Price: 3.25, SpotPrice: 1.25, BootS: 40.5, Zones: []ids.Zone{"zone-a", "zone-b"}}}}},
		{Name: "rental", Value: ProvisionRequest{RequestID: "r-412-7", Type: "g8", Zone: "zone-a", Spot: true, Count: 12}},
		{Name: "hosts", Value: MachineIDs{IDs: []ids.MachineID{"n-000231", "n-000007"}}},
		{Name: "machine list", Value: MachinePage{Machines: []Machine{machine}, More: true}},
		{Name: "job description", Value: goldenSpec()},
		{Name: "smallest job description", Value: JobSpec{Class: "c", Team: "red"}, Partial: true},
	})
}

// goldenSubmission is the result of ParseSubmission as one value.
type goldenSubmission struct {
	ID   ids.JobID
	Spec JobSpec
}

// submissionBody encodes a submission as users do, with the field names of the protocol.
// Controllers only decode submissions.
func submissionBody(shape string) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.SetSortMapKeys(true)
	err := enc.Encode(map[string]any{"nameId": "job-1", "workclass": "train", "crew": "vision", "shape": shape, "urgency": "high",
		"legs": 70, "cpus": 8.5, "accelerators": 1.5, "memoryGb": 64.5, "bundle": "img-07", "pullGb": 6.25,
		"frames": []string{"g8", "g4"}, "hall": "zone-a", "oneZone": true, "spread": true, "loaner": true, "expectS": 240.5,
		"snapshotEveryS": 30.5, "snapshotS": 4.5, "dueS": 900.5, "waitsOn": []string{"job-2", "job-3"}})
	return buf.Bytes(), err
}

// The bodies that users submit keep their meaning.
func TestSubmissionEncoding(t *testing.T) {
	parsed := func(service, gang bool) goldenSubmission {
		s := goldenSpec()
		s.Service, s.Gang = service, gang
		return goldenSubmission{"job-1", s}
	}
	decode := func(raw []byte, v any) error {
		id, spec, err := ParseSubmission(raw)
		if err == nil {
			*v.(*goldenSubmission) = goldenSubmission{id, *spec}
		}
		return err
	}
	encode := func(v any) ([]byte, error) {
		switch s := v.(goldenSubmission).Spec; {
		case s.Service:
			return submissionBody("standing")
		case s.Gang:
			return submissionBody("ensemble")
		}
		return submissionBody("batch")
	}
	golden.Check(t, "submissions.json", golden.Codec{Encode: encode, Decode: decode}, []golden.Case{
		{Name: "batch job", Value: parsed(false, false), Partial: true},
		{Name: "service", Value: parsed(true, false), Partial: true},
		{Name: "gang", Value: parsed(false, true), Partial: true},
	})
}

// The string values of the protocol and the numbers of priorities must not change. Job records
// hold some of them.
func TestProtocolValues(t *testing.T) {
	got := fmt.Sprintln(JobQueued, JobRunning, JobDone, JobCancelled, ";", TaskFetching, TaskRunning, TaskCheckpointing, TaskEnded, ";",
		CauseDone, CauseStopped, CauseError, CauseFull, CauseInUse, CauseNoSuch, ";", VerbRun, VerbKill, VerbReap, ";", MachineRunning, MachineFailed, ";",
		int(BestEffort), int(Normal), int(High), int(Critical), ";",
		priorities["best_effort"], priorities["normal"], priorities["high"], priorities["critical"], len(priorities))
	const want = "queued running done withdrawn ; pulling running flushing ended ; done stopped error full in_use no_such ; run kill reap ; running failed ; 0 1 2 3 ; 0 1 2 3 4\n"
	if got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}
