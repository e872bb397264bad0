package streamer

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// TestPropertyWhole sends random answers through a buffer to an assembler, over
// connections that break and that deliver pieces late, twice and out of order.
func TestPropertyWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBuffer(Settings{})
		a, err := b.Begin(id, rapid.Bool().Draw(t, "once"))
		if err != nil {
			t.Fatal(err)
		}
		p := &pipe{t: t, answer: a, assembler: NewAssembler(1 << 20)}
		p.attach(t)
		t.Repeat(map[string]func(*rapid.T){
			"write": p.write, "write2": p.write, "send": p.send, "send2": p.send, "deliver": p.deliver,
			"deliver2": p.deliver, "double": p.duplicate, "break": p.attach, "acknowledge": p.acknowledge,
		})
		a.End(start, messenger.End{Outcome: messenger.OutcomeCompleted})
		for i := 0; p.done == nil; i++ {
			if i > 1000 {
				t.Fatalf("answer does not end, at %d of %d", p.assembler.Next(), len(p.sent))
			}
			p.attach(t)
			for p.readOne() {
			}
			for len(p.inFlight) > 0 {
				p.receive(0)
			}
		}
		if !bytes.Equal(p.got, p.sent) {
			t.Fatalf("got %q, sent %q", p.got, p.sent)
		}
		if head := p.assembler.Head(); len(p.sent) > 0 && (head == nil || head.Model != "w/a@1") {
			t.Fatal("answer without its head")
		}
	})
}

type pipe struct {
	t         *rapid.T
	answer    *Answer
	assembler *Assembler
	reader    *Reader
	sent      []byte
	got       []byte
	done      *messenger.End
	// inFlight holds the pieces in transit.
	inFlight []messenger.Piece
}

func (p *pipe) write(t *rapid.T) {
	data := fmt.Appendf(nil, "%d,", len(p.sent))
	data = data[:rapid.IntRange(0, len(data)).Draw(t, "bytes")]
	if err := p.answer.Write(context.Background(), time.Second, &messenger.Head{Model: "w/a@1"}, data); err != nil {
		t.Fatal(err)
	}
	p.sent = append(p.sent, data...)
}

// readOne moves one piece from the buffer into transit.
func (p *pipe) readOne() bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	piece, err := p.reader.Next(ctx)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			p.t.Fatal(err)
		}
		return false
	}
	p.inFlight = append(p.inFlight, piece)
	return piece.End == nil
}

func (p *pipe) send(t *rapid.T) {
	if p.reader.answer.Ended() == nil {
		p.readOne()
	}
}

func (p *pipe) receive(i int) {
	piece := p.inFlight[i]
	p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
	ready, done, _, err := p.assembler.Add(piece)
	if err != nil {
		p.t.Fatal(err)
	}
	p.got = append(p.got, ready...)
	if done != nil {
		if p.done != nil {
			p.t.Fatal("ended twice")
		}
		p.done = done
	}
}

func (p *pipe) deliver(t *rapid.T) {
	if len(p.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	p.receive(rapid.IntRange(0, len(p.inFlight)-1).Draw(t, "piece"))
}

func (p *pipe) duplicate(t *rapid.T) {
	if len(p.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	p.inFlight = append(p.inFlight, p.inFlight[rapid.IntRange(0, len(p.inFlight)-1).Draw(t, "piece")])
}

// attach breaks the connection, which loses some of the pieces in transit, and resumes.
func (p *pipe) attach(t *rapid.T) {
	if len(p.inFlight) > 0 {
		p.inFlight = p.inFlight[:rapid.IntRange(0, len(p.inFlight)).Draw(t, "kept")]
	}
	r, err := p.answer.Attach(p.assembler.Next())
	if err != nil {
		t.Fatal(err)
	}
	p.reader = r
}

func (p *pipe) acknowledge(*rapid.T) { p.answer.Acknowledge(p.assembler.Next(), false) }
