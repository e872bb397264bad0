package identifier

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// identityBytes is the size of an Identity. Among four billion different requests, the
// probability that any two have the same identity is about 2^-64.
const identityBytes = 16

// Identity identifies a request by its content and its caller.
//
// It is a truncated cryptographic hash that includes the caller, since the handling of one
// caller's request must not depend on the requests of another. With a shorter hash a caller
// could construct requests with the identity of another caller's request. For requests
// without a key the identity depends on the content only: if one caller's request is
// quarantined, the same request from others is quarantined too.
type Identity [identityBytes]byte

// Request contains the properties that determine the identity of a request.
type Request struct {
	// Caller identifies the caller by its key or workspace; it is empty if callers
	// send no key. It is never a network address: the address of a caller varies with
	// the route to the entry, with proxies and with the failure domain.
	Caller string
	Method string
	Host   string
	// Target is the path with its query, as the caller sent it. The query is part of
	// the identity only if there is no body, since it then specifies the request. With
	// a body it contains options, and callers add parameters that differ each time.
	Target string
	Body   []byte
}

// Place returns a hash of everything except the body, by which a request is compared with
// the suspects. It is fast, but not cryptographic: different hashes prove that two requests
// differ, whereas equal hashes prove nothing, since collisions can be constructed.
func (r Request) Place() uint64 {
	h := xxhash.New()
	r.writeHeader(h)
	return h.Sum64()
}

// writeHeader writes everything except the body to h.
func (r Request) writeHeader(h hash.Hash) {
	path, query, _ := strings.Cut(r.Target, "?")
	if len(r.Body) > 0 {
		query = ""
	}
	for _, text := range []string{r.Caller, r.Method, r.Host, path, query} {
		writeText(h, text)
	}
}

// Identify returns the identity of a request.
func Identify(r Request) Identity {
	h := sha256.New()
	r.writeHeader(h)
	// Write of a hash never returns an error.
	_, _ = h.Write(r.Body)
	var id Identity
	copy(id[:], h.Sum(nil))
	return id
}

// writeText writes a text preceded by its length, so that different sequences of texts
// never give the same bytes.
func writeText(h hash.Hash, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = h.Write(length[:])
	_, _ = io.WriteString(h, text)
}

// String returns the identity in hexadecimal.
func (i Identity) String() string { return hex.EncodeToString(i[:]) }

// Hash returns a part of the identity, for counting different requests.
func (i Identity) Hash() uint64 { return binary.BigEndian.Uint64(i[:]) }

// ParseIdentity parses the result of Identity.String.
func ParseIdentity(text string) (Identity, error) {
	var id Identity
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != identityBytes {
		return id, errors.NotValidf("identity %.40q", text)
	}
	copy(id[:], data)
	return id, nil
}
