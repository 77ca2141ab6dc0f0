package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBody is the protocol's limit for request bodies in bytes.
const MaxBody = 64 << 10

// ErrMalformedBody reports bytes that are not one MessagePack value of the expected form.
var ErrMalformedBody = errors.New("wire: malformed body")

// Encode returns the MessagePack form of a value. It panics if the type of the value has
// no such form, which is a programming error.
func Encode(v any) []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		panic(fmt.Sprintf("wire: %T cannot be encoded: %v", v, err))
	}
	return buf.Bytes()
}

// Decode reads one MessagePack value, which must fill the whole body, into the value that
// v points to. Every error wraps ErrMalformedBody. The body may come from an untrusted
// sender.
func Decode(body []byte, v any) (err error) {
	// Third-party decoders have panicked on hostile input before.
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrMalformedBody, p)
		}
	}()
	// The decoder allocates as many elements as a header announces, so five bytes could
	// exhaust the memory. Skip allocates nothing, and fails if the body is shorter than
	// its headers announce.
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

// maxJSONGrowth is how many bytes of JSON one byte of MessagePack becomes at most.
const maxJSONGrowth = 6

// JSONSize returns the size in bytes of the JSON form of a value, given its MessagePack
// form. The key-value store measures its limits in JSON.
func JSONSize(raw []byte) (int, error) {
	var v any
	if err := Decode(raw, &v); err != nil {
		return 0, err
	}
	text, err := json.Marshal(v)
	if err != nil {
		return 0, fmt.Errorf("wire: JSON form: %w", err)
	}
	return len(text), nil
}

// ExceedsJSONSize reports whether the JSON form of a value is larger than limit bytes, or
// whether it has none. A limit of 0 or less means no limit.
func ExceedsJSONSize(v any, limit int) bool {
	if limit <= 0 {
		return false
	}
	raw := Encode(v)
	if maxJSONGrowth*len(raw) <= limit {
		return false // most values are small, and need not be converted
	}
	size, err := JSONSize(raw)
	return err != nil || size > limit
}
