package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBodyBytes is the protocol's size limit for request bodies.
const MaxBodyBytes = 64 << 10

// ErrMalformedBody means that a body is not exactly one MessagePack value of the expected type.
var ErrMalformedBody = errors.New("wire: malformed body")

// Encode returns the MessagePack encoding of a value. It panics if the type of the value
// cannot be encoded, which is a programming error.
func Encode(v any) []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		panic(fmt.Sprintf("wire: %T cannot be encoded: %v", v, err))
	}
	return buf.Bytes()
}

// Decode decodes a body into the value that v points to. The body must be exactly one
// MessagePack value, and may come from an untrusted sender. Every error wraps
// ErrMalformedBody.
func Decode(body []byte, v any) (err error) {
	// A third-party decoder may panic on hostile input.
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrMalformedBody, p)
		}
	}()
	// Unmarshal allocates as many elements as a header announces, so a body of five bytes
	// could exhaust the memory. Skip allocates nothing, and fails if the body is shorter
	// than its headers announce.
	reader := bytes.NewReader(body)
	if err := msgpack.NewDecoder(reader).Skip(); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedBody, err)
	}
	if reader.Len() > 0 {
		return fmt.Errorf("%w: %d bytes after the value", ErrMalformedBody, reader.Len())
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedBody, err)
	}
	return nil
}

// maxJSONGrowth is the maximum number of JSON bytes for one byte of MessagePack.
const maxJSONGrowth = 6

// JSONSize returns the size in bytes of the JSON encoding of a value, given its MessagePack
// encoding. The size limits of the key-value store apply to the JSON encoding.
func JSONSize(raw []byte) (int, error) {
	var v any
	if err := Decode(raw, &v); err != nil {
		return 0, err
	}
	text, err := json.Marshal(v)
	if err != nil {
		return 0, fmt.Errorf("wire: encode as JSON: %w", err)
	}
	return len(text), nil
}

// ExceedsJSONSize reports whether the JSON encoding of a value is larger than limit bytes,
// or the value cannot be encoded as JSON. A limit of 0 or less means no limit.
func ExceedsJSONSize(v any, limit int) bool {
	if limit <= 0 {
		return false
	}
	raw := Encode(v)
	if maxJSONGrowth*len(raw) <= limit {
		return false // most values are small and need no conversion
	}
	size, err := JSONSize(raw)
	return err != nil || size > limit
}
