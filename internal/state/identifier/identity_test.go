package identifier_test

import (
	"testing"

	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
)

var request = identifier.Request{Caller: "c", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("body")}

// TestIdentifyAgrees holds a value: hosts of different versions must come to the same.
func TestIdentifyAgrees(t *testing.T) {
	const want = "41970e29dcf4428c893d72b062f28ac4"
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
		func(r *identifier.Request) { r.Target = "/b?b" },
		func(r *identifier.Request) { r.Body = []byte("bodies") },
		func(r *identifier.Request) { r.Body = nil },
		func(r *identifier.Request) { r.Target, r.Body = "/a?c", nil },
		func(r *identifier.Request) { r.Target, r.Body = "/a", nil },
		func(r *identifier.Request) { r.Caller, r.Method = "cP", "OST" },
		func(r *identifier.Request) { r.Target, r.Body = "/ab", []byte("body") },
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

// TestIdentifyBesideBody: what a caller adds to the path of a request with a body, such as
// the time, does not make it another.
func TestIdentifyBesideBody(t *testing.T) {
	other := request
	other.Target = "/a?time=2"
	if identifier.Identify(other) != identifier.Identify(request) || other.PlaceHash() != request.PlaceHash() {
		t.Error("a query beside a body made another request")
	}
	other.Body = []byte("other")
	if identifier.Identify(other) == identifier.Identify(request) || other.PlaceHash() != request.PlaceHash() {
		t.Error("a place tells of more or less than what comes before the body")
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

// BenchmarkPlace measures what each call costs while there is any suspect.
func BenchmarkPlace(b *testing.B) {
	for b.Loop() {
		request.PlaceHash()
	}
}
