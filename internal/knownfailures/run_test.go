package knownfailures

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// fakeRunner has tests with given packages and results.
type fakeRunner struct {
	unlisted error               // the result of all other tests
	passes   map[string]bool     // by test
	packages map[string][]string // by test
	skipped  string              // the pattern of the last call of All
}

func (f *fakeRunner) All(skip string) error {
	f.skipped = skip
	return f.unlisted
}

func (f *fakeRunner) Packages(test string) ([]string, error) { return f.packages[test], nil }

func (f *fakeRunner) Passes(_, test string) (bool, error) { return f.passes[test], nil }

func TestRunToleratesListedTestsOnly(t *testing.T) {
	listed := []Entry{{Test: "TestA", Cause: "a cause", Issue: "20"}}
	once := map[string][]string{"TestA": {"p"}}
	unlisted := errors.New("exit status 1")
	for _, c := range []struct {
		name    string
		runner  fakeRunner
		want    error
		message string
	}{
		{"a listed test fails", fakeRunner{packages: once}, nil, ""},
		{"another test fails", fakeRunner{packages: once, unlisted: unlisted}, unlisted, "exit status 1"},
		{"a listed test passes", fakeRunner{packages: once, passes: map[string]bool{"TestA": true}}, ErrPasses, "passes: remove it from the list"},
		{"a listed test does not exist", fakeRunner{}, ErrMissing, "does not exist"},
		{"two tests of one name", fakeRunner{packages: map[string][]string{"TestA": {"p", "q"}}}, ErrAmbiguous, "several tests"},
	} {
		var out bytes.Buffer
		err := Run(listed, &c.runner, &out)
		if !errors.Is(err, c.want) || (err == nil) != (c.want == nil) || err != nil && !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: %v, want %v with %q", c.name, err, c.want, c.message)
		}
		if c.runner.skipped != "^(TestA)$" || !strings.Contains(out.String(), "TestA: a cause (issue 20)") {
			t.Errorf("%s: skipped %q, printed %q", c.name, c.runner.skipped, out.String())
		}
	}
}
