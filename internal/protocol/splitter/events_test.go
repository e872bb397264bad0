package splitter_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/protocol/splitter"
)

var _ = DescribeTable("A stream",
	func(stream string, unfinished, count int, id string) {
		var whole, bytewise splitter.Events
		whole.Push([]byte(stream))
		for _, b := range []byte(stream) {
			bytewise.Push([]byte{b})
		}
		for _, e := range []*splitter.Events{&whole, &bytewise} {
			Expect(e.Unfinished()).To(Equal(unfinished))
			Expect(e.Count()).To(Equal(count))
			Expect(e.ID()).To(Equal(id))
		}
	},
	Entry("that is empty", "", 0, 0, ""),
	Entry("with LF", "id: 1\ndata: x\n\nid:2\n\n", 0, 1, "2"),
	Entry("with CR", "id: 1\rdata: x\r\rid:2\r\r", 0, 1, "2"),
	Entry("with CRLF", "id: 1\r\ndata: x\r\n\r\nid:2\r\n\r\n", 0, 1, "2"),
	Entry("with a blank line of CRLF after lines of LF", "data: x\n\r\n", 0, 1, ""),
	Entry("that ends in the middle of CRLF, after a line of CRLF", "data: x\r\n\r", 10, 0, ""),
	Entry("that ends before the blank line", "data: x\n", 8, 0, ""),
	Entry("that ends before the blank line of CRLF", "data: x\r\n", 9, 0, ""),
	Entry("that ends in a field", "data: x\n\ndata", 4, 1, ""),
	Entry("that ends in an id", "id: 1\n\nid: 22\n", 7, 0, "1"),
	Entry("that ends after a comment", "data: x\n\n: ping\n", 7, 1, ""),
	Entry("with a comment", ": ping\n\ndata: x\n\n", 0, 1, ""),
	Entry("with a byte order mark", "\xef\xbb\xbfid: 1\n\n", 0, 0, "1"),
	Entry("that ends in a byte order mark", "\xef\xbb", 2, 0, ""),
	Entry("with a part of a byte order mark in the first field", "\xefid: 1\n\n", 0, 0, ""),
	Entry("with an id that contains NUL", "id: 1\n\nid: 2\x00\n\n", 0, 0, "1"),
	Entry("with an id kept by an event without one", "id: 1\n\ndata: x\n\n", 0, 1, "1"),
	Entry("with an id whose spaces count", "id:  1 \n\n", 0, 0, " 1 "),
	Entry("with fields whose names begin like an id", "idx: 1\n\nid: 2\n\nidentity: 3\n\n", 0, 0, "2"),
	Entry("that resets the id", "id: 1\n\nid\n\n", 0, 0, ""),
	Entry("of comments and blank lines only", "\n: ping\n\n\n", 0, 0, ""),
	Entry("with data without a value", "data\n\ndata:\n\n", 0, 2, ""),
	Entry("with fields whose names begin like data", "dat: x\n\ndatax: y\n\n", 0, 0, ""),
	Entry("of a byte order mark only", "\xef\xbb\xbf", 3, 0, ""),
	Entry("with CR and CRLF in turn", "a: 1\r\n\r\ndata: x\r\r\n\n", 0, 1, ""),
)

// Guards against events that are returned before they are complete or delayed after that.
func TestEventsAtEveryCut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r", "\r\n"}).Draw(rt, "end")
		line := rapid.SampledFrom([]string{"id: 1", "data: x", ": comment", "retry: 5", "data"})
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) string {
			return strings.Join(rapid.SliceOfN(line, 1, 4).Draw(rt, "lines"), end) + end + end
		}), 0, 4).Draw(rt, "events")
		stream := strings.Join(events, "")
		cut := rapid.IntRange(0, len(stream)).Draw(rt, "cut")
		middle := rapid.IntRange(0, cut).Draw(rt, "middle")
		var e splitter.Events
		got := string(e.Push([]byte(stream[:middle])))
		got += string(e.Push([]byte(stream[middle:cut])))
		want := ""
		for _, event := range events {
			if len(want)+len(event) > cut {
				break
			}
			want += event
		}
		if got != want || e.Unfinished() != cut-len(want) {
			rt.Fatalf("%q: %q with %d bytes unfinished, want %q", stream[:cut], got, e.Unfinished(), want)
		}
	})
}
