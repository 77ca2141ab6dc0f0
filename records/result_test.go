package records

import (
	"fmt"
	"testing"
)

// Only an applied, conflicting or rejected change has a definite result.
func TestResolvedResults(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want bool
	}{
		{name: "applied", want: true},
		{name: "conflict", err: fmt.Errorf("commit: %w", &ConflictError{Keys: []string{"jobs/job-1"}}), want: true},
		{name: "rejected", err: fmt.Errorf("commit: %w", ErrRejected), want: true},
		{name: "fenced", err: ErrFenced},
		{name: "indeterminate", err: ErrIndeterminate},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := (CommitResult{Err: c.err}).Resolved(); got != c.want {
				t.Errorf("resolved %v, want %v", got, c.want)
			}
		})
	}
}
