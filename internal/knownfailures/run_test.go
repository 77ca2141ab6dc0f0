package knownfailures

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// fakeRunner is a Runner with the given packages and results of tests.
type fakeRunner struct {
	unlisted error               // result of RunAll
	passes   map[string]bool     // by test name
	packages map[string][]string // by test name
	skipped  string              // pattern of the last call of RunAll
}

func (f *fakeRunner) RunAll(skip string) error {
	f.skipped = skip
	return f.unlisted
}

func (f *fakeRunner) Packages(test string) ([]string, error) { return f.packages[test], nil }

func (f *fakeRunner) Passes(_, test string) (bool, error) { return f.passes[test], nil }

// Run must tolerate the failure of a listed test and nothing else. An entry must not hide the failure of
// another test, and must not stay in the list after its test passes.
func TestRunToleratesListedTestsOnly(t *testing.T) {
	listed := []Entry{{Test: "TestA", Cause: "a cause", Issue: "20"}}
	inOnePackage := map[string][]string{"TestA": {"p"}}
	unlisted := errors.New("exit status 1")
	for _, c := range []struct {
		name    string
		runner  fakeRunner
		want    error
		message string
	}{
		{"a listed test fails", fakeRunner{packages: inOnePackage}, nil, ""},
		{"another test fails", fakeRunner{packages: inOnePackage, unlisted: unlisted}, unlisted, "exit status 1"},
		{"a listed test passes", fakeRunner{packages: inOnePackage, passes: map[string]bool{"TestA": true}}, ErrPasses, "passes: remove it from the list"},
		{"a listed test does not exist", fakeRunner{}, ErrMissing, "does not exist"},
		{"two tests with one name", fakeRunner{packages: map[string][]string{"TestA": {"p", "q"}}}, ErrAmbiguous, "several tests"},
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
