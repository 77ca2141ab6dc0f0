package knownfailures

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// Errors for a listed test. Run wraps them with the name of the test.
var (
	ErrMissing   = errors.New("listed as a known failure but does not exist")
	ErrAmbiguous = errors.New("the name of several tests")
	ErrPasses    = errors.New("listed as a known failure but passes: remove it from the list")
)

// Runner runs go test.
type Runner interface {
	// RunAll runs all tests except those that match the pattern skip. An empty pattern skips none.
	RunAll(skip string) error
	// Packages returns the packages that have a test with this name.
	Packages(test string) ([]string, error)
	// Passes runs one test of a package and reports whether it passes.
	Passes(pkg, test string) (bool, error)
}

// Run runs all tests that are not listed. Then it prints each listed test to out and runs it. It returns
// an error if an unlisted test fails, or if a listed test passes, does not exist or is ambiguous. The
// error joins all such errors.
func Run(entries []Entry, runner Runner, out io.Writer) error {
	errs := []error{runner.RunAll(Pattern(entries))}
	for _, entry := range entries {
		fmt.Fprintf(out, "known failure: %s: %s (issue %s)\n", entry.Test, entry.Cause, entry.Issue)
		if err := checkStillFails(entry.Test, runner); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", entry.Test, err))
		}
	}
	return errors.Join(errs...)
}

// checkStillFails checks that a listed test exists in exactly one package and still fails.
func checkStillFails(test string, runner Runner) error {
	packages, err := runner.Packages(test)
	switch {
	case err != nil:
		return err
	case len(packages) == 0:
		return ErrMissing
	case len(packages) > 1:
		return fmt.Errorf("%w: in %s", ErrAmbiguous, strings.Join(packages, ", "))
	}
	passes, err := runner.Passes(packages[0], test)
	switch {
	case err != nil:
		return err
	case passes:
		return ErrPasses
	}
	return nil
}
