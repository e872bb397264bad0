package orderer

import (
	"bytes"
	"strings"
	"testing"
)

// FuzzEventReader passes arbitrary input to the reader, as from a faulty engine. The
// reader must terminate and respect its limit on memory.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: {}\n\n: ping\n\nid: 2\ndata: [DONE]\n\n")
	f.Add("data: x\r\n\r\n\n\ndata:\n\n")
	f.Add("id: 9223372036854775808\n\n")
	f.Add("data: " + strings.Repeat("x", 9000) + "\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		const limit = 4096
		lines := 0
		r := newEventReader(strings.NewReader(stream), limit, func() { lines++ })
		for {
			e, err := r.next()
			if err != nil {
				break
			}
			if e.data == nil || len(e.data) > 2*limit || bytes.ContainsRune(e.data, '\n') {
				t.Fatalf("event %d of %d bytes", e.number, len(e.data))
			}
		}
		if lines > strings.Count(stream, "\n") {
			t.Fatalf("%d lines", lines)
		}
	})
}
