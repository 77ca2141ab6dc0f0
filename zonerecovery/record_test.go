package zonerecovery

import (
	"slices"
	"testing"

	"ospreystile.example/ospreystile/ids"
)

// A job whose counters are missing or incomplete is omitted.
func TestRecordedJobsNeedCounters(t *testing.T) {
	record := Record{DisplacedJobs: []ids.JobID{"job-1", "job-2"}, JobCounters: []int{1, 2, 3, 4, 5, 6}}
	jobs := record.jobs()
	if len(jobs) != 1 || jobs["job-1"] == nil {
		t.Fatalf("jobs %v", jobs)
	}
	var written Record
	written.addJob("job-1", jobs["job-1"])
	if !slices.Equal(written.JobCounters, record.JobCounters[:countersPerJob]) {
		t.Errorf("counters %v, want %v", written.JobCounters, record.JobCounters[:countersPerJob])
	}
}
