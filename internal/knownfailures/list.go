// Package knownfailures lets CI tolerate tests that fail for a known fault which could not
// be fixed yet, and no other failures. The tests are listed in KNOWN-RED.txt, one a line. A
// listed test that passes, or that does not exist, fails the run, so that the list never
// outlives the faults.
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

// separator stands between the fields of a line, commentPrefix begins a line without any.
const (
	separator     = "|"
	commentPrefix = "#"
)

// Errors of a list. Parse wraps them with the line.
var (
	ErrTooManyEntries = fmt.Errorf("%d are allowed", MaxEntries)
	ErrDuplicate      = errors.New("the test is listed twice")
	ErrMalformedLine  = errors.New("want test | cause | issue")
)

// Entry is one listed test, with the cause of its failure and the open issue about it.
type Entry struct {
	Test  string
	Cause string
	Issue string
}

var testNamePattern = regexp.MustCompile(`^Test[A-Za-z0-9_]*$`)

// Parse reads a list. Each line holds a test, the cause and the issue, separated by "|".
// It skips empty lines and lines that begin with "#".
func Parse(r io.Reader) ([]Entry, error) {
	var entries []Entry
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, commentPrefix) {
			continue
		}
		entry, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		if slices.ContainsFunc(entries, func(e Entry) bool { return e.Test == entry.Test }) {
			return nil, fmt.Errorf("line %d: %s: %w", number, entry.Test, ErrDuplicate)
		}
		entries = append(entries, entry)
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(entries) > MaxEntries {
		return nil, fmt.Errorf("%d tests are listed, %w", len(entries), ErrTooManyEntries)
	}
	return entries, nil
}

// parseLine reads one line that is no comment.
func parseLine(line string) (Entry, error) {
	fields := strings.Split(line, separator)
	if len(fields) != 3 {
		return Entry{}, ErrMalformedLine
	}
	entry := Entry{
		Test:  strings.TrimSpace(fields[0]),
		Cause: strings.TrimSpace(fields[1]),
		Issue: strings.TrimSpace(fields[2]),
	}
	switch {
	case !testNamePattern.MatchString(entry.Test):
		return Entry{}, fmt.Errorf("%w: %q is not the name of a test", ErrMalformedLine, entry.Test)
	case entry.Cause == "" || entry.Issue == "":
		return Entry{}, fmt.Errorf("%w: %s: cause or issue is missing", ErrMalformedLine, entry.Test)
	}
	return entry, nil
}

// Pattern returns a regular expression, in the form that go test takes, which matches the
// names of the listed tests and no others. It is empty if there are none.
func Pattern(entries []Entry) string {
	if len(entries) == 0 {
		return ""
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = regexp.QuoteMeta(entry.Test)
	}
	return "^(" + strings.Join(names, "|") + ")$"
}
