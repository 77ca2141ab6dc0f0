package election

import "ospreystile.example/ospreystile/ids"

// Identity identifies one process of a controller. It is the value of the leader key.
type Identity struct {
	Name        ids.ControllerName        `msgpack:"n"`
	PeerAddress string                    `msgpack:"m"`
	Incarnation ids.ControllerIncarnation `msgpack:"i"`
}

// isEarlierProcessOf reports whether i identifies another process of the same controller. A
// controller runs one process at a time, so the process that reads the key is the current one
// and the other one has ended.
func (i Identity) isEarlierProcessOf(self Identity) bool {
	return i.Name == self.Name && i.Incarnation != self.Incarnation
}

// Leader holds the identity of a leader and the revision of its key. A later leader has a
// larger revision. The name is empty if only the revision is known.
type Leader struct {
	Identity
	Revision ids.Revision
}
