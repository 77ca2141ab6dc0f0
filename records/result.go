package records

import (
	"errors"
	"fmt"

	"ospreystile.example/ospreystile/ids"
)

var (
	// ErrRejected means that the store rejected the change because of its size or form, not
	// because of its preconditions. The change was not applied, and the same change would be
	// rejected again.
	ErrRejected = errors.New("change rejected by the store")
	// ErrFenced means that the leader key is no longer at this leader's revision.
	ErrFenced = errors.New("fenced: the leader key has a later revision")
	// ErrIndeterminate means that the change may have been applied, or may still be applied
	// later. Only reading the records again shows whether it was.
	ErrIndeterminate = errors.New("indeterminate result")
)

// ConflictError reports that preconditions of a change failed. The change was not applied.
type ConflictError struct {
	// Keys are the keys of the failed preconditions, in the order of the change.
	Keys []string
}

// Error returns a message that lists the keys.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: preconditions failed for keys %q", e.Keys)
}

// CommitResult holds the result of committing a change.
type CommitResult struct {
	Change Change
	// Revision is the revision of the store at which the change was applied. It is zero unless
	// Err is nil.
	Revision ids.Revision
	// Err is nil if the change was applied. A *ConflictError or ErrRejected is a definite
	// result as well; see Resolved. With all other errors the change is unresolved. These are
	// ErrFenced, ErrIndeterminate, and the error of the store or the context if the committer
	// gave up the change before the store executed it.
	Err error
}

// Resolved reports whether the result is definite: the change was applied, failed with a conflict,
// or was rejected.
func (r CommitResult) Resolved() bool {
	_, conflict := errors.AsType[*ConflictError](r.Err)
	return r.Err == nil || conflict || errors.Is(r.Err, ErrRejected)
}
