package peerrpc

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxFrameBytes bounds one frame; a larger one ends the connection.
	maxFrameBytes = 4 << 20
	// lengthBytes is how long the big-endian length before each frame is.
	lengthBytes = 4
)

// frame is one request or response.
type frame struct {
	// ID is the number of a request on its connection; the response repeats it.
	ID uint64 `cbor:"1,keyasint"`
	// Op is set in requests.
	Op Operation `cbor:"2,keyasint,omitempty"`
	// Answer tells a response from a request.
	Answer bool `cbor:"3,keyasint,omitempty"`
	// Err is the text of the handler's error; a response has it or a body.
	Err  string          `cbor:"4,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// writeFrame writes a frame after its length. Errors of the connection are returned as they
// are: they name the operation and the addresses.
func writeFrame(w *bufio.Writer, f *frame) error {
	encoded, err := cbor.Marshal(f)
	if err != nil {
		return fmt.Errorf("peer frame: %w", err)
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

// readFrame reads a frame after its length. It returns io.EOF if the connection ended between
// two frames.
func readFrame(r *bufio.Reader) (*frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size == 0 || size > maxFrameBytes {
		return nil, fmt.Errorf("peer frame of %d bytes", size)
	}
	encoded := make([]byte, size)
	if _, err := io.ReadFull(r, encoded); err != nil {
		return nil, err
	}
	decoded := new(frame)
	if err := cbor.Unmarshal(encoded, decoded); err != nil {
		return nil, fmt.Errorf("peer frame: %w", err)
	}
	return decoded, nil
}
