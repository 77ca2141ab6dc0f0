// Package knownfailures runs the tests in CI and tolerates the failures of tests that are listed in
// KNOWN-RED.txt, one per line. A listed test fails because of a known fault that is not fixed yet. The
// run fails if any other test fails. It also fails if a listed test passes or does not exist, so that an
// entry is removed once its fault is fixed.
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

// MaxEntries is the maximum number of listed tests.
const MaxEntries = 3

const (
	// separator separates the fields of a line.
	separator = "|"
	// commentPrefix marks a line as a comment.
	commentPrefix = "#"
)

// Errors in a list. Parse wraps the last two with the line number.
var (
	ErrTooManyEntries = fmt.Errorf("%d are allowed", MaxEntries)
	ErrDuplicate      = errors.New("the test is listed twice")
	ErrMalformedLine  = errors.New("want test | cause | issue")
)

// Entry represents a listed test, the cause of its failure and the open issue for it.
type Entry struct {
	Test  string
	Cause string
	Issue string
}

// testNamePattern matches the names of top-level tests.
var testNamePattern = regexp.MustCompile(`^Test[A-Za-z0-9_]*$`)

// Parse parses a list. Each line holds the test, the cause and the issue, separated by "|". Empty
// lines and lines that begin with "#" are skipped.
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

// parseLine parses a line that is neither empty nor a comment.
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

// Pattern returns a regular expression for the flags of go test that matches exactly the names of the
// listed tests. It returns "" if there are none.
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
