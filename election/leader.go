package election

import "ospreystile.example/ospreystile/ids"

// Identity is the value of the leader key. It names one process of a controller.
type Identity struct {
	Name        ids.ControllerName        `msgpack:"n"`
	PeerAddress string                    `msgpack:"m"`
	Incarnation ids.ControllerIncarnation `msgpack:"i"`
}

// isEarlierProcessOf reports whether the identity is that of another process of the same
// controller. A process looks at the key only while it runs, so the other one has ended.
func (i Identity) isEarlierProcessOf(self Identity) bool {
	return i.Name == self.Name && i.Incarnation != self.Incarnation
}

// Leader is a leader and the revision of its key. A later leader has a larger revision. The
// name is empty if only the revision is known.
type Leader struct {
	Identity
	Revision ids.Revision
}
