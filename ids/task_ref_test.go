package ids

import "testing"

// A job ID may contain slashes, so the index follows the last one.
func TestParseTask(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       TaskRef
		ok         bool
	}{
		{"a task", "job-000412/3", TaskRef{"job-000412", 3}, true},
		{"a job with a slash", "job-1/2/3", TaskRef{"job-1/2", 3}, true},
		{"no index", "job-1/", TaskRef{}, false},
		{"no slash", "job-1", TaskRef{}, false},
		{"no job", "/3", TaskRef{}, false},
		{"negative index", "job-1/-3", TaskRef{}, false},
		{"index that is not a number", "job-1/x", TaskRef{}, false},
	} {
		got, ok := ParseTask(c.text)
		if got != c.want || ok != c.ok {
			t.Errorf("%s: %v, %v", c.name, got, ok)
		}
		if ok && got.String() != c.text {
			t.Errorf("%s: written as %q", c.name, got)
		}
	}
}
