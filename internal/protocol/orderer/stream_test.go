package orderer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// token is the numbered event of a scripted stream.
func token(number int, model string) string {
	return fmt.Sprintf("id: %d\ndata: {\"model\":%q,\"choices\":[{\"text\":\"<%d>\"}]}\n\n", number, model, number)
}

func done(number int) string { return fmt.Sprintf("id: %d\ndata: [DONE]\n\n", number) }

// playing returns settings with a peer that answers each further connection with
// the next of the streams, each from the incarnation its first word names.
func playing(streams ...string) orderer.Settings {
	next := 0
	return orderer.Settings{Address: "127.0.0.1:1", Dial: func(context.Context, string, string) (net.Conn, error) {
		if next == len(streams) {
			return nil, errors.New("connection refused")
		}
		incarnation, stream, _ := strings.Cut(streams[next], " ")
		next++
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if r, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nEngine-Incarnation: %s\r\n\r\n%s", incarnation, stream)
			}
		}()
		return near, nil
	}}
}

// Symptom: an answer has a piece twice, lacks one, is another adapter's, or ends
// early and passes for whole. Sequence: pieces come doubled, too far ahead, cut in
// the middle of a line, or from an engine that restarted. Cause: each piece must be
// the next one of the same answer, and only its end mark ends it.
func TestStreamsThatGoWrong(t *testing.T) {
	one, two, three := token(1, adapter), token(2, adapter), token(3, adapter)
	cases := map[string]struct {
		streams []string
		text    string
		kind    error
	}{
		"doubled":            {[]string{"i " + one + one + two + done(3)}, "<1><2>", nil},
		"heartbeats":         {[]string{"i : ping\n\n" + one + ": ping\n\n" + done(2)}, "<1>", nil},
		"gap asked after":    {[]string{"i " + one + three, "i " + two + three + done(4)}, "<1><2><3>", nil},
		"cut in a line":      {[]string{"i " + one + two[:30], "i " + two + done(3)}, "<1><2>", nil},
		"cut after a line":   {[]string{"i " + one + strings.TrimSuffix(done(2), "\n"), "i " + two + done(3)}, "<1><2>", nil},
		"other adapter":      {[]string{"i " + one + token(2, "titles/chain@2")}, "<1>", orderer.ErrWrongModel},
		"other incarnation":  {[]string{"i " + one, "j " + two + done(3)}, "<1>", orderer.ErrRequestNotFound},
		"error in the end":   {[]string{"i " + one + "id: 2\ndata: {\"error\":{\"type\":\"x\"}}\n\n"}, "<1>", orderer.ErrUnknown},
		"no end, no engine":  {[]string{"i " + one}, "<1>", orderer.ErrUnknown},
		"event without end":  {[]string{"i id: 1\ndata: " + strings.Repeat("x", 2<<20)}, "", orderer.ErrUnknown},
		"not JSON":           {[]string{"i id: 1\ndata: {\n\n"}, "", orderer.ErrUnknown},
		"number not numeric": {[]string{"i id: one\ndata: {}\n\n"}, "", orderer.ErrUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				client := orderer.NewEngine(playing(c.streams...))
				defer client.Close()
				var a answer
				err := client.Generate(t.Context(), call("r1"), a.take)
				g.Expect(a.text).To(Equal(c.text))
				g.Expect(a.done).To(Equal(c.kind == nil))
				if c.kind == nil {
					g.Expect(err).NotTo(HaveOccurred())
					return
				}
				g.Expect(errors.Is(err, c.kind)).To(BeTrue(), "%v", err)
				g.Expect(errors.Is(err, orderer.ErrUnknown)).To(BeTrue(), "%v", err)
				g.Expect(errors.Is(err, orderer.ErrNotRun)).To(BeFalse(), "%v", err)
			})
		})
	}
}
