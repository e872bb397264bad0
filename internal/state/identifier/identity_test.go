package identifier_test

import (
	"testing"

	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
)

var request = identifier.Request{Caller: "c", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("body")}

// TestIdentifyAgrees holds a value: hosts of different versions must come to the same.
func TestIdentifyAgrees(t *testing.T) {
	const want = "88049b476fb90f94192341fb59d7fc07"
	if got := identifier.Identify(request).String(); got != want {
		t.Errorf("the identity is %s, want %s", got, want)
	}
}

// TestIdentifyTellsApart: requests that differ in one part, or in where one part ends and
// the next begins, are not the same.
func TestIdentifyTellsApart(t *testing.T) {
	seen := map[identifier.Identity]identifier.Request{}
	for _, change := range []func(*identifier.Request){
		func(*identifier.Request) {},
		func(r *identifier.Request) { r.Caller = "d" },
		func(r *identifier.Request) { r.Method = "PUT" },
		func(r *identifier.Request) { r.Host = "i" },
		func(r *identifier.Request) { r.Target = "/a?c" },
		func(r *identifier.Request) { r.Body = []byte("bodies") },
		func(r *identifier.Request) { r.Body = nil },
		func(r *identifier.Request) { r.Caller, r.Method = "cP", "OST" },
		func(r *identifier.Request) { r.Target, r.Body = "/a?bb", []byte("ody") },
	} {
		r := request
		change(&r)
		id := identifier.Identify(r)
		if other, ok := seen[id]; ok {
			t.Errorf("%v and %v have the same identity", r, other)
		}
		seen[id] = r
	}
}

func TestParseIdentity(t *testing.T) {
	id := identifier.Identify(request)
	if got, err := identifier.ParseIdentity(id.String()); err != nil || got != id {
		t.Errorf("read back as %v, %v", got, err)
	}
	for _, bad := range []string{"", "0", "zz", id.String() + "00"} {
		if _, err := identifier.ParseIdentity(bad); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

// BenchmarkIdentify measures a long prompt's request.
func BenchmarkIdentify(b *testing.B) {
	r := request
	r.Body = make([]byte, 18000)
	b.SetBytes(int64(len(r.Body)))
	for b.Loop() {
		identifier.Identify(r)
	}
}
