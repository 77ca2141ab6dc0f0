package knownfailures

import (
	"errors"
	"regexp"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		name, list string
		entries    int
	}{
		{"empty", "", 0},
		{"comments and empty lines", "# none\n\n", 0},
		{"one entry", "TestA | a cause, with a comma | 20\n", 1},
		{"as many as are allowed", "TestA|a|1\nTestB|b|2\nTestC|c|3", 3},
	} {
		if entries, err := Parse(strings.NewReader(c.list)); err != nil || len(entries) != c.entries {
			t.Errorf("%s: %v, %v", c.name, entries, err)
		}
	}
}

// An invalid list must fail the run. Otherwise CI could skip tests that no valid entry names.
func TestParseInvalidList(t *testing.T) {
	for _, c := range []struct {
		name, list string
		want       error
		message    string
	}{
		{"too many entries", "TestA|a|1\nTestB|b|2\nTestC|c|3\nTestD|d|4", ErrTooManyEntries, "3 are allowed"},
		{"duplicate test", "TestA|a|1\nTestA|b|2", ErrDuplicate, "line 2: TestA: the test is listed twice"},
		{"no issue", "TestA | a |", ErrMalformedLine, "cause or issue"},
		{"too few fields", "TestA", ErrMalformedLine, "want test"},
		{"invalid test name", "Test.* | all of them | 1", ErrMalformedLine, "not the name of a test"},
	} {
		entries, err := Parse(strings.NewReader(c.list))
		if len(entries) > 0 || !errors.Is(err, c.want) || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: %v, %v, want %v with %q", c.name, entries, err, c.want, c.message)
		}
	}
}

// The pattern must not match tests whose names only contain a listed name, because matching tests are
// skipped.
func TestPatternMatchesListedTestsOnly(t *testing.T) {
	if pattern := Pattern(nil); pattern != "" {
		t.Errorf("pattern without entries: %q, want none", pattern)
	}
	pattern := regexp.MustCompile(Pattern([]Entry{{Test: "TestA"}, {Test: "TestB"}}))
	for name, listed := range map[string]bool{"TestA": true, "TestB": true, "TestAB": false, "XTestA": false} {
		if pattern.MatchString(name) != listed {
			t.Errorf("%s: match is %v", name, !listed)
		}
	}
}
