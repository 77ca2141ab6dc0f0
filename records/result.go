package records

import (
	"errors"
	"fmt"

	"ospreystile.example/ospreystile/ids"
)

var (
	// ErrRejected means that the store does not take the change for its size or form,
	// not for its preconditions. The change was not applied, and the same change would be
	// rejected again.
	ErrRejected = errors.New("change rejected by the store")
	// ErrFenced means that the leader key is no longer at this leader's revision.
	ErrFenced = errors.New("fenced: the leader key has a later revision")
	// ErrIndeterminate means that the change may have been applied, or may yet be. The
	// records must be read again to know.
	ErrIndeterminate = errors.New("indeterminate result")
)

// ConflictError means that preconditions of a change failed. The change was not applied.
type ConflictError struct {
	// Keys are the keys of the failed preconditions, in the order of the change.
	Keys []string
}

// Error lists the keys.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: preconditions failed for keys %q", e.Keys)
}

// CommitResult is the result of committing a change.
type CommitResult struct {
	Change Change
	// Revision is the revision that the change got in the store. It is zero unless Err
	// is nil.
	Revision ids.Revision
	// Err is nil if the change was applied. A *ConflictError or ErrRejected is as definite:
	// see Resolved. All other errors leave the change unresolved: ErrFenced,
	// ErrIndeterminate, and the store's or the context's error if the change was given up
	// before the store executed it.
	Err error
}

// Resolved reports whether the store decided on the change: it was applied, or refused for
// a conflict, or rejected.
func (r CommitResult) Resolved() bool {
	_, conflict := errors.AsType[*ConflictError](r.Err)
	return r.Err == nil || conflict || errors.Is(r.Err, ErrRejected)
}
