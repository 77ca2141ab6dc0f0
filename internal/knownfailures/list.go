// Package knownfailures lets CI pass over tests that fail for a known fault which could
// not be mended yet, and over those alone. They are listed in KNOWN-RED.txt, one line
// each. A listed test that passes, or that no longer exists, fails the run, so that the
// list never outlives the fault.
package knownfailures

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// MaxEntries is how many tests may be listed at once.
const MaxEntries = 3

// separator stands between the three parts of a line.
const separator = "|"

// Entry is one listed test with the cause of its failure and the issue that is open
// for it.
type Entry struct {
	Test  string
	Cause string
	Issue string
}

var testName = regexp.MustCompile(`^Test[A-Za-z0-9_]*$`)

// Parse reads a list. Each line holds a test, the cause and the issue, separated by
// "|"; empty lines and those that begin with # are passed over.
func Parse(r io.Reader) ([]Entry, error) {
	var entries []Entry
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		entry, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		if slices.ContainsFunc(entries, func(e Entry) bool { return e.Test == entry.Test }) {
			return nil, fmt.Errorf("line %d: %s is listed twice", number, entry.Test)
		}
		entries = append(entries, entry)
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(entries) > MaxEntries {
		return nil, fmt.Errorf("%d tests are listed, %d are allowed", len(entries), MaxEntries)
	}
	return entries, nil
}

func parseLine(line string) (Entry, error) {
	parts := strings.Split(line, separator)
	if len(parts) != 3 {
		return Entry{}, errors.New("want test | cause | issue")
	}
	entry := Entry{Test: strings.TrimSpace(parts[0]), Cause: strings.TrimSpace(parts[1]), Issue: strings.TrimSpace(parts[2])}
	switch {
	case !testName.MatchString(entry.Test):
		return Entry{}, fmt.Errorf("%q is not the name of a test", entry.Test)
	case entry.Cause == "" || entry.Issue == "":
		return Entry{}, fmt.Errorf("%s: cause or issue is missing", entry.Test)
	}
	return entry, nil
}

// Pattern matches the names of the listed tests and no others, in the form that go
// test takes. It is empty if there are none.
func Pattern(entries []Entry) string {
	if len(entries) == 0 {
		return ""
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = regexp.QuoteMeta(e.Test)
	}
	return "^(" + strings.Join(names, "|") + ")$"
}

// Runner runs go test.
type Runner interface {
	// All runs all tests but those that match a pattern; no pattern leaves out none.
	All(skip string) error
	// Packages lists the packages that hold a test.
	Packages(test string) ([]string, error)
	// Passes runs a single test of a package.
	Passes(pkg, test string) (bool, error)
}

// Run runs all tests that are not listed, then each listed one, and prints the latter
// to out. It fails if a test that is not listed fails, or if a listed one passes or
// does not exist.
func Run(entries []Entry, runner Runner, out io.Writer) error {
	errs := []error{runner.All(Pattern(entries))}
	for _, e := range entries {
		fmt.Fprintf(out, "known red: %s: %s (issue %s)\n", e.Test, e.Cause, e.Issue)
		errs = append(errs, confirm(e, runner))
	}
	return errors.Join(errs...)
}

// confirm checks that a listed test exists, once, and still fails.
func confirm(e Entry, runner Runner) error {
	packages, err := runner.Packages(e.Test)
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", e.Test, err)
	case len(packages) == 0:
		return fmt.Errorf("%s is listed as known red but does not exist", e.Test)
	case len(packages) > 1:
		return fmt.Errorf("%s is the name of several tests: in %s", e.Test, strings.Join(packages, ", "))
	}
	passes, err := runner.Passes(packages[0], e.Test)
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", e.Test, err)
	case passes:
		return fmt.Errorf("%s is listed as known red but passes: take it off the list", e.Test)
	}
	return nil
}
