package peerrpc

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"ospreystile.example/ospreystile/internal/golden"
)

// frameCodec encodes and decodes frames with their length, as connections do.
var frameCodec = golden.Codec{
	Encode: func(v any) ([]byte, error) {
		var buf bytes.Buffer
		f := v.(frame)
		err := writeFrame(bufio.NewWriter(&buf), &f)
		return buf.Bytes(), err
	},
	Decode: func(raw []byte, v any) error {
		f, err := readFrame(bufio.NewReader(bytes.NewReader(raw)))
		if err == nil {
			*v.(*frame) = *f
		}
		return err
	},
}

// Frames keep their encoding, so that controllers of different versions understand each other.
func TestFrameEncoding(t *testing.T) {
	body := cbor.RawMessage{0xa1, 0x01, 0x02}
	cases := []golden.Case{
		{Name: "every field", Value: frame{ID: 1<<40 + 1, Op: "ping", IsResponse: true, Err: "not leading", Body: body}},
		{Name: "answer", Value: frame{ID: 2, IsResponse: true, Body: body}, Partial: true},
		{Name: "refusal", Value: frame{ID: 3, IsResponse: true, Err: "not leading"}, Partial: true},
	}
	for i, op := range []Operation{"ping", "state", "progress", "job", "reports", "zones", "zone-override"} {
		cases = append(cases, golden.Case{Name: "request " + string(op), Value: frame{ID: uint64(i + 4), Op: op, Body: body}, Partial: true})
	}
	golden.Check(t, "frames.json", frameCodec, cases)
}
