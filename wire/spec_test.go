package wire

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"ospreystile.example/ospreystile/ids"
)

func submission() map[string]any {
	return map[string]any{"nameId": "job-000412", "workclass": "train", "crew": "vision", "shape": "batch", "urgency": "high",
		"legs": 16, "cpus": 8.0, "accelerators": 1.0, "memoryGb": 64.0, "bundle": "img-07", "pullGb": 6.2,
		"frames": []string{"g8"}, "hall": nil, "oneZone": true, "spread": false, "loaner": true,
		"expectS": 240.0, "snapshotEveryS": 30.0, "snapshotS": 4.0, "dueS": 900.0, "news": "ignored"}
}

func TestSubmissionIsTakenWhole(t *testing.T) {
	id, s, err := ParseSubmission(Encode(submission()))
	if err != nil {
		t.Fatal(err)
	}
	want := JobSpec{Class: "train", Team: "vision", Priority: High, Tasks: 16, CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07",
		ImageGB: 6.2, OneZone: true, Spot: true, EstimateS: 240, CheckpointEveryS: 30, CheckpointS: 4, DeadlineS: 900}
	got := *s
	if len(got.Types) != 1 || got.Types[0] != "g8" {
		t.Errorf("types %v", got.Types)
	}
	got.Types = nil
	if id != "job-000412" || Encode(got) == nil || string(Encode(got)) != string(Encode(want)) {
		t.Errorf("got %s %+v, want %+v", id, got, want)
	}
}

// Absent, null and empty mean that a job waits for none; a name given twice counts
// once.
func TestWaitsOn(t *testing.T) {
	for _, c := range []struct {
		given any
		want  []ids.JobID
	}{
		{nil, nil}, {[]any{}, nil}, {[]any{"job-2", "job-1", "job-2"}, []ids.JobID{"job-2", "job-1"}},
	} {
		m := submission()
		m["waitsOn"] = c.given
		if _, s, err := ParseSubmission(Encode(m)); err != nil || !slices.Equal(s.DependsOn, c.want) {
			t.Errorf("%v: %v, %v", c.given, s, err)
		}
	}
}

// The state service measures values in their JSON form.
func TestSizeIsThatOfJSON(t *testing.T) {
	v := map[string]any{"w": uint64(1 << 63), "h": []string{"n-000231"}, "t": []int{1, 20, -1}, "s": true}
	const text = `{"h":["n-000231"],"s":true,"t":[1,20,-1],"w":9223372036854775808}`
	if n, err := JSONSize(Encode(v)); err != nil || n != len(text) {
		t.Errorf("size %d, %v, want %d", n, err, len(text))
	}
	if ExceedsJSONSize(v, len(text)) || !ExceedsJSONSize(v, len(text)-1) || ExceedsJSONSize(v, 0) {
		t.Error("the limit is not where it should be")
	}
}

func TestBadSubmissionsAreRefused(t *testing.T) {
	for name, change := range map[string]func(map[string]any){
		"no id":             func(m map[string]any) { delete(m, "nameId") },
		"odd id":            func(m map[string]any) { m["nameId"] = "job-1/../x" },
		"id with a space":   func(m map[string]any) { m["nameId"] = "job-1 2" },
		"id not text":       func(m map[string]any) { m["nameId"] = 7 },
		"no tasks":          func(m map[string]any) { m["legs"] = 0 },
		"too many tasks":    func(m map[string]any) { m["legs"] = 100001 },
		"tasks not whole":   func(m map[string]any) { m["legs"] = 1.5 },
		"tasks as text":     func(m map[string]any) { m["legs"] = "1" },
		"negative cpus":     func(m map[string]any) { m["cpus"] = -1.0 },
		"no cpus":           func(m map[string]any) { delete(m, "cpus") },
		"cpus null":         func(m map[string]any) { m["cpus"] = nil },
		"unknown shape":     func(m map[string]any) { m["shape"] = "round" },
		"unknown priority":  func(m map[string]any) { m["urgency"] = "now" },
		"types not a list":  func(m map[string]any) { m["frames"] = "g8" },
		"types of numbers":  func(m map[string]any) { m["frames"] = []any{1} },
		"flag missing":      func(m map[string]any) { delete(m, "oneZone") },
		"flag as number":    func(m map[string]any) { m["spread"] = 1 },
		"waits on a text":   func(m map[string]any) { m["waitsOn"] = "job-1" },
		"waits on a map":    func(m map[string]any) { m["waitsOn"] = map[string]any{"job-1": true} },
		"waits on numbers":  func(m map[string]any) { m["waitsOn"] = []any{"job-1", 7} },
		"waits on nothing":  func(m map[string]any) { m["waitsOn"] = []any{"job-1", nil} },
		"waits on no id":    func(m map[string]any) { m["waitsOn"] = []any{"job-1", "train"} },
		"waits on a path":   func(m map[string]any) { m["waitsOn"] = []any{"job-1/2"} },
		"deadline as text":  func(m map[string]any) { m["dueS"] = "soon" },
		"zone as number":    func(m map[string]any) { m["hall"] = 3 },
		"endless team name": func(m map[string]any) { m["crew"] = strings.Repeat("x", 1000) },
	} {
		m := maps.Clone(submission())
		change(m)
		if _, _, err := ParseSubmission(Encode(m)); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// Only what may be null may be left out, and nothing may be of another type.
func TestEveryFieldIsNeeded(t *testing.T) {
	for key := range submission() {
		may := slices.Contains([]string{"frames", "hall", "dueS", "news"}, key)
		m := submission()
		delete(m, key)
		if _, _, err := ParseSubmission(Encode(m)); (err == nil) != may {
			t.Errorf("without %s: %v", key, err)
		}
		m[key] = nil
		if _, _, err := ParseSubmission(Encode(m)); (err == nil) != may {
			t.Errorf("%s null: %v", key, err)
		}
		for _, odd := range []any{map[string]any{}, []any{map[string]any{}}, -1, true, 7.5} {
			m[key] = odd
			_, _, err := ParseSubmission(Encode(m))
			_, whole := odd.(int)
			_, amount := submission()[key].(float64)
			_, flag := submission()[key].(bool)
			fits := key == "news" || odd == true && flag || odd == 7.5 && amount || key == "dueS" && odd == 7.5
			if (err == nil) != fits || whole && err == nil && key != "news" {
				t.Errorf("%s = %v: %v", key, odd, err)
			}
		}
	}
}

func TestHostileBodiesAreErrors(t *testing.T) {
	good := Encode(submission())
	bodies := [][]byte{nil, {}, {0xc1}, {0xc0}, []byte("{}"), Encode([]int{1}), Encode("x"), append(good, 0),
		{0xdf, 0xff, 0xff, 0xff, 0xff}, {0xdd, 0xff, 0xff, 0xff, 0xff}, {0xc6, 0xff, 0xff, 0xff, 0xff, 1}, make([]byte, MaxBody+1)}
	for n := range good {
		bodies = append(bodies, good[:n])
	}
	for _, b := range bodies {
		if _, _, err := ParseSubmission(b); err == nil {
			t.Errorf("% x… was taken for a job", b[:min(len(b), 16)])
		}
		var rep Heartbeat
		_ = Decode(b, &rep) // must not panic
	}
}

func FuzzParseSubmission(f *testing.F) {
	f.Add(Encode(submission()))
	f.Fuzz(func(t *testing.T, b []byte) {
		if id, s, err := ParseSubmission(b); err == nil && (!ValidID(id) || s.Tasks < 1 || s.CPUs <= 0) {
			t.Errorf("took %s %+v", id, s)
		}
	})
}

func TestNewerMessages(t *testing.T) {
	r := Heartbeat{Incarnation: 2, Sequence: 5}
	for _, c := range []struct {
		tenure ids.AgentIncarnation
		tick   ids.Sequence
		newer  bool
	}{{1, 9, true}, {2, 4, true}, {2, 5, false}, {2, 6, false}, {3, 1, false}} {
		if got := r.Newer(c.tenure, c.tick); got != c.newer {
			t.Errorf("newer than %d.%d: %v", c.tenure, c.tick, got)
		}
	}
}
