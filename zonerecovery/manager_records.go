package zonerecovery

import "ospreystile.example/ospreystile/ids"

// NextWrite returns one record that must be written now. ok is false if there is none. The write is
// in flight until WriteCommitted or WriteRejected is called for its zone. nonce identifies the
// write. fits reports whether a record is small enough for the key-value store.
func (m *Manager) NextWrite(at ClockReading, nonce uint64, fits func(*Record) bool) (write RecordWrite, ok bool) {
	for _, z := range m.sorted {
		if write, ok = z.nextWrite(at, nonce, fits); ok {
			return write, true
		}
	}
	return RecordWrite{}, false
}

// WriteCommitted records that the write of a zone's record is committed. revision is the revision of
// the key, 0 if the key was deleted. relaxed reports whether the limits on starts may have been
// relaxed, so that more tasks may start than before.
func (m *Manager) WriteCommitted(name ids.Zone, revision ids.Revision) (relaxed bool) {
	z := m.zones[name]
	return z != nil && z.record.commit(revision)
}

// WriteRejected records that the key-value store refused a zone's record because of its size. The
// limit on the jobs in the next record is half of the previous one.
func (m *Manager) WriteRejected(name ids.Zone) {
	if z := m.zones[name]; z != nil {
		z.record.reject()
	}
}
