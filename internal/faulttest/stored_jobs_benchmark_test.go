package faulttest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// benchmarkKVRate is the number of requests per second that the key-value store allows all controllers.
const benchmarkKVRate = 80

// BenchmarkStartWithStoredJobs starts three controllers for a key-value store that holds many jobs that are
// done, with the memory of two deployments in production. It reports the time to the first answered status query, the time until every controller has read all
// jobs, and the resident memory after that.
func BenchmarkStartWithStoredJobs(b *testing.B) {
	for _, ramMB := range []float64{125, 234} {
		for _, jobs := range []int{10_000, 50_000, 200_000} {
			b.Run(fmt.Sprintf("ram=%.0f/jobs=%d", ramMB, jobs), func(b *testing.B) {
				for range b.N {
					benchmarkStart(b, ramMB, jobs)
				}
			})
		}
	}
}

// storedJob returns the name of a stored job.
func storedJob(i int) ids.JobID { return ids.JobID(fmt.Sprintf("job-%07d", i)) }

func benchmarkStart(b *testing.B, ramMB float64, jobs int) {
	b.Helper()
	program := buildProgram(b)
	deployment, err := NewDeployment(b.TempDir(), []ids.Zone{"gdansk"}, 1, controllerCount)
	if err != nil {
		b.Fatal(err)
	}
	defer deployment.Close()
	for i := range jobs {
		record := records.Job{Nonce: uint64(i), Status: wire.JobDone, Tasks: 4, SubmittedMS: 1764640000123, DoneMS: 1764640000456}
		deployment.KV.Put(records.JobKey(storedJob(i)), record)
	}
	deployment.kvLimits.RPS, deployment.ramMB = benchmarkKVRate, ramMB
	startedAt := time.Now()
	for _, c := range deployment.Controllers {
		if err := deployment.writeSettings(c); err != nil {
			b.Fatal(err)
		}
		if err := c.Start(program); err != nil {
			b.Fatal(err)
		}
	}
	for i := range deployment.Controllers {
		awaitInBenchmark(b, func() bool {
			status, err := deployment.Users.StatusAt(context.Background(), i, storedJob(jobs-1))
			return err == nil && status.Status == wire.JobDone
		})
	}
	b.ReportMetric(time.Since(startedAt).Seconds(), "s/first-answers")
	for _, c := range deployment.Controllers {
		awaitInBenchmark(b, func() bool { return strings.Contains(c.Log(), `msg="job list read"`) })
	}
	b.ReportMetric(time.Since(startedAt).Seconds(), "s/all-jobs")
	reportMemory(b, deployment)
}

// awaitInBenchmark waits until a condition holds.
func awaitInBenchmark(b *testing.B, holds func() bool) {
	b.Helper()
	for deadline := time.Now().Add(4 * time.Minute); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatal("timed out")
		}
	}
}

// reportMemory reports the resident memory of the leader and the largest of the followers.
func reportMemory(b *testing.B, deployment *Deployment) {
	b.Helper()
	follower := 0.0
	for _, c := range deployment.Controllers {
		memory := residentMB(b, c.process.Process.Pid)
		if strings.Contains(c.Log(), `msg="records loaded"`) {
			b.ReportMetric(memory, "MB/leader")
			continue
		}
		follower = max(follower, memory)
	}
	b.ReportMetric(follower, "MB/follower")
}

// residentMB returns the largest resident memory of a process so far, in megabytes.
func residentMB(b *testing.B, pid int) float64 {
	b.Helper()
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			if err != nil {
				b.Fatal(err)
			}
			return kilobytes / 1024
		}
	}
	b.Fatal("no resident memory in the status of the process")
	return 0
}
