package wire

import (
	"errors"
	"testing"
)

// The size limits of the key-value store apply to the JSON encoding of values.
func TestJSONSize(t *testing.T) {
	value := map[string]any{"w": uint64(1 << 63), "h": []string{"n-000231"}, "t": []int{1, 20, -1}, "s": true}
	const text = `{"h":["n-000231"],"s":true,"t":[1,20,-1],"w":9223372036854775808}`
	if size, err := JSONSize(Encode(value)); err != nil || size != len(text) {
		t.Errorf("size %d, %v, want %d", size, err, len(text))
	}
	for _, c := range []struct {
		name    string
		limit   int
		exceeds bool
	}{
		{"exactly the limit", len(text), false},
		{"one byte above the limit", len(text) - 1, true},
		{"no limit", 0, false},
	} {
		if got := ExceedsJSONSize(value, c.limit); got != c.exceeds {
			t.Errorf("%s: exceeds the limit: %v", c.name, got)
		}
	}
}

// A body may announce more elements than it holds, be truncated at any byte, or be followed by
// other bytes. Each must be an error rather than a panic or a large allocation.
func TestMalformedBodies(t *testing.T) {
	valid := Encode(validSubmission())
	bodies := [][]byte{nil, {}, {0xc1}, {0xc0}, []byte("{}"), Encode([]int{1}), Encode("x"), append(valid, 0),
		{0xdf, 0xff, 0xff, 0xff, 0xff}, {0xdd, 0xff, 0xff, 0xff, 0xff}, {0xc6, 0xff, 0xff, 0xff, 0xff, 1}}
	for length := range valid {
		bodies = append(bodies, valid[:length])
	}
	for _, body := range bodies {
		if _, _, err := ParseSubmission(body); !errors.Is(err, ErrMalformedBody) {
			t.Errorf("% x…: %v, want ErrMalformedBody", body[:min(len(body), 16)], err)
		}
		var heartbeat Heartbeat
		if err := Decode(body, &heartbeat); err != nil && !errors.Is(err, ErrMalformedBody) {
			t.Errorf("% x… as a heartbeat: %v, want ErrMalformedBody", body[:min(len(body), 16)], err)
		}
	}
}

func TestBodyTooLarge(t *testing.T) {
	body := make([]byte, MaxBodyBytes+1)
	if _, _, err := ParseSubmission(body); !errors.Is(err, ErrBodyTooLarge) {
		t.Errorf("%v, want ErrBodyTooLarge", err)
	}
	var heartbeat Heartbeat
	_ = Decode(body, &heartbeat) // must not panic
}
