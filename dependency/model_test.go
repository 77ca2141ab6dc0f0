package dependency

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// model is a simple and slow reference implementation of Graph. It derives each value from all records.
type model map[ids.JobID]Record

func (m model) state(id ids.JobID) State {
	record, known := m[id]
	switch {
	case !known:
		return Unknown
	case record.Status == wire.JobDone:
		return Done
	case record.Status == wire.JobCancelled:
		return Cancelled
	}
	state := Ready
	for _, dependency := range record.DependsOn {
		switch m.state(dependency) {
		case Cancelled:
			return Cancelled
		case Unknown, Waiting, Ready:
			state = Waiting
		}
	}
	return state
}

func (m model) priority(id ids.JobID) wire.Priority {
	highest := m[id].Priority
	for other, record := range m {
		if slices.Contains(record.DependsOn, id) && m.state(other) == Waiting {
			highest = max(highest, m.priority(other))
		}
	}
	return highest
}

func (m model) readyMS(id ids.JobID) int64 {
	at := m[id].SubmittedMS
	for _, dependency := range m[id].DependsOn {
		at = max(at, m[dependency].DoneMS)
	}
	return at
}
