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

// tokenEvent returns the event with the given number of a scripted stream.
func tokenEvent(number int, model string) string {
	return fmt.Sprintf("id: %d\ndata: {\"model\":%q,\"choices\":[{\"text\":\"<%d>\"}]}\n\n", number, model, number)
}

func doneEvent(number int) string { return fmt.Sprintf("id: %d\ndata: [DONE]\n\n", number) }

// scriptedSettings returns settings with a peer that answers each connection with the next
// of the streams. The first word of a stream is the incarnation of the engine.
func scriptedSettings(streams ...string) orderer.Settings {
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

// TestStreamsThatGoWrong guards against an answer with a duplicate or missing piece, with
// pieces of another adapter, or that ends early and is reported as complete. Pieces
// arrive twice, too early, truncated in the middle of a line, or from an engine that has
// restarted. Each piece must be the next one of the same answer, and only the done mark
// ends the answer.
func TestStreamsThatGoWrong(t *testing.T) {
	one, two, three := tokenEvent(1, adapter), tokenEvent(2, adapter), tokenEvent(3, adapter)
	cases := map[string]struct {
		streams []string
		text    string
		kind    error
	}{
		"doubled":            {[]string{"i " + one + one + two + doneEvent(3)}, "<1><2>", nil},
		"heartbeats":         {[]string{"i : ping\n\n" + one + ": ping\n\n" + doneEvent(2)}, "<1>", nil},
		"gap resumed":        {[]string{"i " + one + three, "i " + two + three + doneEvent(4)}, "<1><2><3>", nil},
		"cut in a line":      {[]string{"i " + one + two[:30], "i " + two + doneEvent(3)}, "<1><2>", nil},
		"cut after a line":   {[]string{"i " + one + strings.TrimSuffix(doneEvent(2), "\n"), "i " + two + doneEvent(3)}, "<1><2>", nil},
		"other adapter":      {[]string{"i " + one + tokenEvent(2, "titles/chain@2")}, "<1>", orderer.ErrWrongModel},
		"other incarnation":  {[]string{"i " + one, "j " + two + doneEvent(3)}, "<1>", orderer.ErrRequestNotFound},
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
				client := orderer.NewEngine(scriptedSettings(c.streams...))
				defer client.Close()
				var a answer
				err := client.Generate(t.Context(), call("r1"), a.add)
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
