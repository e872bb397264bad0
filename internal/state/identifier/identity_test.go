package identifier_test

import (
	"testing"

	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
)

var request = identifier.Request{Caller: "c", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("body")}

// TestIdentifyIsStable checks a fixed value, since processes of different versions must
// compute the same identity.
func TestIdentifyIsStable(t *testing.T) {
	const want = "41970e29dcf4428c893d72b062f28ac4"
	if got := identifier.Identify(request).String(); got != want {
		t.Errorf("the identity is %s, want %s", got, want)
	}
}

// TestIdentifyDistinguishesRequests checks that requests have different identities if they
// differ in one part, or in the boundary between two parts.
func TestIdentifyDistinguishesRequests(t *testing.T) {
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

// TestIdentifyIgnoresQueryWithBody checks that the query of a request with a body, such as
// a time stamp that the caller adds, does not change the identity.
func TestIdentifyIgnoresQueryWithBody(t *testing.T) {
	other := request
	other.Target = "/a?time=2"
	if identifier.Identify(other) != identifier.Identify(request) || other.Place() != request.Place() {
		t.Error("the query of a request with a body changed its identity or place")
	}
	other.Body = []byte("other")
	if identifier.Identify(other) == identifier.Identify(request) || other.Place() != request.Place() {
		t.Error("a different body did not change the identity, or changed the place")
	}
}

func TestParseIdentity(t *testing.T) {
	id := identifier.Identify(request)
	if got, err := identifier.ParseIdentity(id.String()); err != nil || got != id {
		t.Errorf("parsed as %v, %v", got, err)
	}
	for _, bad := range []string{"", "0", "zz", id.String() + "00"} {
		if _, err := identifier.ParseIdentity(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// BenchmarkIdentify measures a request with a long prompt.
func BenchmarkIdentify(b *testing.B) {
	r := request
	r.Body = make([]byte, 18000)
	b.SetBytes(int64(len(r.Body)))
	for b.Loop() {
		identifier.Identify(r)
	}
}

// BenchmarkPlace measures the cost per call while there is at least one suspect.
func BenchmarkPlace(b *testing.B) {
	for b.Loop() {
		request.Place()
	}
}
