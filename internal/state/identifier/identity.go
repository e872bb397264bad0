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

// identityBytes is the size of an Identity: two different requests have the same with a
// probability of 2^-64 among four thousand million.
const identityBytes = 16

// Identity names a request by its content.
//
// It is cut from a cryptographic hash which the caller's workspace goes into: what becomes of one
// caller's request must not depend on another's, and a short hash would let a caller make
// requests that pass for somebody else's. Where callers bring no key, only the same content
// is the same request: who sends it too is kept from what it would end as well.
type Identity [identityBytes]byte

// Request is what makes two requests the same.
type Request struct {
	// Caller is who sends it, by its key or workspace; empty where callers bring none. An address
	// is none: one caller comes by several, since it depends on the way to the entry, on
	// proxies between and on the failure domain.
	Caller string
	Method string
	Host   string
	// Target is the path with its query, as the caller sent it. The query counts where
	// there is no body: it then is what is asked. Beside a body it holds options, and
	// callers add to it what differs each time.
	Target string
	Body   []byte
}

// Place returns a hash of all but the body. It is quick, and only sorts requests out that
// can't be the same: anybody can make others with the same.
func (r Request) PlaceHash() uint64 {
	h := xxhash.New()
	r.writeHead(h)
	return h.Sum64()
}

// writeHead writes what comes before the body.
func (r Request) writeHead(h hash.Hash) {
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
	r.writeHead(h)
	// A hash never fails to be written to.
	_, _ = h.Write(r.Body)
	var id Identity
	copy(id[:], h.Sum(nil))
	return id
}

// writeText writes a text with its length before it, so that no part can pass for the end
// of the one before.
func writeText(h hash.Hash, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = h.Write(length[:])
	_, _ = io.WriteString(h, text)
}

// String returns the identity in hexadecimal.
func (i Identity) String() string { return hex.EncodeToString(i[:]) }

// ParseIdentity is the inverse of String.
func ParseIdentity(text string) (Identity, error) {
	var id Identity
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != identityBytes {
		return id, errors.NotValidf("identity %.40q", text)
	}
	copy(id[:], data)
	return id, nil
}
