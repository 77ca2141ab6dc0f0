package peerrpc

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxFrameBytes is the maximum size of a frame. A larger one closes the connection.
	maxFrameBytes = 4 << 20
	// lengthBytes is the size of the big-endian length that precedes each frame.
	lengthBytes = 4
)

// frame holds one request or response.
type frame struct {
	// ID identifies a request on its connection. The response has the same ID.
	ID uint64 `cbor:"1,keyasint"`
	// Op is the operation of a request; empty in responses.
	Op Operation `cbor:"2,keyasint,omitempty"`
	// IsResponse reports whether the frame is a response.
	IsResponse bool `cbor:"3,keyasint,omitempty"`
	// Err is the text of the handler's error. A response has either Err or Body.
	Err  string          `cbor:"4,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// writeFrame writes the length of a frame and then the frame. It returns errors of the connection
// unwrapped, since they name the operation and the addresses.
func writeFrame(w *bufio.Writer, f *frame) error {
	encoded, err := cbor.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode peer frame: %w", err)
	}
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(encoded)))
	if _, err := w.Write(length[:]); err != nil {
		return err
	}
	if _, err := w.Write(encoded); err != nil {
		return err
	}
	return w.Flush()
}

// readFrame reads the length of a frame and then the frame. It returns io.EOF if the connection
// was closed between two frames.
func readFrame(r *bufio.Reader) (*frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size == 0 || size > maxFrameBytes {
		return nil, fmt.Errorf("read peer frame: invalid length of %d bytes", size)
	}
	encoded := make([]byte, size)
	if _, err := io.ReadFull(r, encoded); err != nil {
		return nil, err
	}
	decoded := new(frame)
	if err := cbor.Unmarshal(encoded, decoded); err != nil {
		return nil, fmt.Errorf("decode peer frame: %w", err)
	}
	return decoded, nil
}
