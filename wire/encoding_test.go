package wire

import (
	"errors"
	"testing"
)

// The key-value store measures values in their JSON form.
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
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestMalformedBodiesAreErrors(t *testing.T) {
	valid := Encode(submission())
	bodies := [][]byte{nil, {}, {0xc1}, {0xc0}, []byte("{}"), Encode([]int{1}), Encode("x"), append(valid, 0),
		{0xdf, 0xff, 0xff, 0xff, 0xff}, {0xdd, 0xff, 0xff, 0xff, 0xff}, {0xc6, 0xff, 0xff, 0xff, 0xff, 1}}
	for length := range valid {
		bodies = append(bodies, valid[:length])
	}
	for _, body := range bodies {
		if _, _, err := ParseSubmission(body); !errors.Is(err, ErrMalformedBody) {
			t.Errorf("% x…: %v, want a malformed body", body[:min(len(body), 16)], err)
		}
		var heartbeat Heartbeat
		if err := Decode(body, &heartbeat); err != nil && !errors.Is(err, ErrMalformedBody) {
			t.Errorf("% x… as a heartbeat: %v, want a malformed body", body[:min(len(body), 16)], err)
		}
	}
}

func TestTooLargeBodyIsAnError(t *testing.T) {
	body := make([]byte, MaxBody+1)
	if _, _, err := ParseSubmission(body); !errors.Is(err, ErrBodyTooLarge) {
		t.Errorf("%v, want a body that is too large", err)
	}
	var heartbeat Heartbeat
	_ = Decode(body, &heartbeat) // must not panic
}
