package records

import "testing"

func TestAdmissionKeys(t *testing.T) {
	id, number, ok := ParseAdmissionKey(AdmissionKey("job-a/b", 12))
	if !ok || id != "job-a/b" || number != 12 {
		t.Fatalf("got %q %d %v", id, number, ok)
	}
	for _, key := range []string{"jobs/x", "admissions/", "admissions/x", "admissions/x/y"} {
		t.Run(key, func(t *testing.T) {
			if _, _, ok := ParseAdmissionKey(key); ok {
				t.Errorf("%q was taken for the key of a slice", key)
			}
		})
	}
}
