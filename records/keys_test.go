package records

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
)

// Job IDs may contain slashes. They must not be mistaken for the one before the slice number.
func TestParseAdmissionKey(t *testing.T) {
	for _, c := range []struct {
		key    string
		job    ids.JobID
		number int
	}{
		{key: "admissions/job-1/00042", job: "job-1", number: 42},
		{key: AdmissionKey("job-a/b", 12), job: "job-a/b", number: 12},
	} {
		t.Run(c.key, func(t *testing.T) {
			if job, number, ok := ParseAdmissionKey(c.key); job != c.job || number != c.number || !ok {
				t.Errorf("parsed as %q %d %v", job, number, ok)
			}
		})
	}
}

// A key of another form must not be taken for the key of an admission slice.
func TestParseAdmissionKeyRejectsOtherKeys(t *testing.T) {
	for _, key := range []string{"jobs/x", "admissions/", "admissions/x", "admissions/x/y"} {
		t.Run(key, func(t *testing.T) {
			if _, _, ok := ParseAdmissionKey(key); ok {
				t.Errorf("%q was parsed as the key of an admission slice", key)
			}
		})
	}
}
