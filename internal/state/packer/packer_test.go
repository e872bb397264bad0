package packer_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/state/packer"
)

func TestUnpackInvertsPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := rapid.SliceOf(rapid.Byte()).Draw(t, "document")
		p, err := packer.Pack(document)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := packer.Unpack(p); err != nil || !bytes.Equal(back, document) {
			t.Fatalf("%q came back as %q, %v", document, back, err)
		}
	})
}

// TestConfigurationIsSmall guards against late answers at all entries in the seconds after
// a change of a large configuration. An operator adds a thousand routes and then changes a
// few more; each change sends 300 KB of uncompressed JSON to each entry, over a link of
// about one megabyte per second.
func TestConfigurationIsSmall(t *testing.T) {
	g := NewWithT(t)
	var routes []string
	for i := range 1200 {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%05x","host":"h%d.example","prefix":"/p%d/","kind":"idempotent","timeout":800,"target":120,"priority":2,"service":"s","attempts":2}`, i*7919, i%7, i))
	}
	document := []byte(`{"routes":[` + strings.Join(routes, ",") + `]}`)
	p, err := packer.Pack(document)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(p)).To(BeNumerically("<", len(document)/5))
}

func TestUnpackRefusesInvalidInput(t *testing.T) {
	g := NewWithT(t)
	p, err := packer.Pack(bytes.Repeat([]byte("route"), 1000))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = packer.Unpack(p[:len(p)/2])
	g.Expect(err).To(HaveOccurred(), "truncated")
	p, err = packer.Pack(make([]byte, packer.MaxBytes+1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = packer.Unpack(p)
	g.Expect(err).To(HaveOccurred(), "too large")
	plain, err := packer.Unpack([]byte(`{"as":"it came"}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(plain)).To(Equal(`{"as":"it came"}`))
}
