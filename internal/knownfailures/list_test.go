package knownfailures

import (
	"bytes"
	"errors"
	"regexp"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		name, list string
		entries    int
		complaint  string
	}{
		{"empty", "", 0, ""},
		{"comments and empty lines", "# none\n\n", 0, ""},
		{"one", "TestA | a cause, with a comma | 20\n", 1, ""},
		{"as many as are allowed", "TestA|a|1\nTestB|b|2\nTestC|c|3", 3, ""},
		{"too many", "TestA|a|1\nTestB|b|2\nTestC|c|3\nTestD|d|4", 0, "3 are allowed"},
		{"twice", "TestA|a|1\nTestA|b|2", 0, "line 2: TestA is listed twice"},
		{"no issue", "TestA | a |", 0, "cause or issue"},
		{"too few parts", "TestA", 0, "want test"},
		{"no test", "Test.* | all of them | 1", 0, "not the name of a test"},
	} {
		entries, err := Parse(strings.NewReader(c.list))
		if len(entries) != c.entries || (err == nil) != (c.complaint == "") || err != nil && !strings.Contains(err.Error(), c.complaint) {
			t.Errorf("%s: %v, %v", c.name, entries, err)
		}
	}
}

func TestPatternMatchesListedTestsAlone(t *testing.T) {
	if p := Pattern(nil); p != "" {
		t.Errorf("no entries give %q", p)
	}
	pattern := regexp.MustCompile(Pattern([]Entry{{Test: "TestA"}, {Test: "TestB"}}))
	for name, listed := range map[string]bool{"TestA": true, "TestB": true, "TestAB": false, "XTestA": false} {
		if pattern.MatchString(name) != listed {
			t.Errorf("%s: %v", name, !listed)
		}
	}
}

// fakeRunner has some tests that pass and some that fail, by name, each in as many
// packages as are named.
type fakeRunner struct {
	rest     error
	passes   map[string]bool
	packages map[string][]string
	skipped  string
}

func (f *fakeRunner) All(skip string) error { f.skipped = skip; return f.rest }

func (f *fakeRunner) Packages(test string) ([]string, error) { return f.packages[test], nil }

func (f *fakeRunner) Passes(_, test string) (bool, error) { return f.passes[test], nil }

func TestRunPassesOverListedTestsAlone(t *testing.T) {
	listed := []Entry{{"TestA", "a cause", "20"}}
	once := map[string][]string{"TestA": {"p"}}
	for _, c := range []struct {
		name      string
		runner    fakeRunner
		complaint string
	}{
		{"a listed test fails", fakeRunner{packages: once}, ""},
		{"another test fails", fakeRunner{packages: once, rest: errors.New("exit status 1")}, "exit status 1"},
		{"a listed test passes", fakeRunner{packages: once, passes: map[string]bool{"TestA": true}}, "passes: take it off"},
		{"a listed test is gone", fakeRunner{}, "does not exist"},
		{"two tests of one name", fakeRunner{packages: map[string][]string{"TestA": {"p", "q"}}}, "several tests"},
	} {
		var out bytes.Buffer
		err := Run(listed, &c.runner, &out)
		if (err == nil) != (c.complaint == "") || err != nil && !strings.Contains(err.Error(), c.complaint) {
			t.Errorf("%s: %v", c.name, err)
		}
		if c.runner.skipped != "^(TestA)$" || !strings.Contains(out.String(), "TestA: a cause (issue 20)") {
			t.Errorf("%s: left out %q, printed %q", c.name, c.runner.skipped, out.String())
		}
	}
}
