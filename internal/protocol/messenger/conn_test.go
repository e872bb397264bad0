package messenger_test

import (
	"context"
	"encoding/json"
	"net"
	"reflect"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// droppableConn is a connection that silently discards writes once dropped is set, as if
// a middlebox had lost its connection state.
type droppableConn struct {
	net.Conn
	dropped atomic.Bool
}

func (f *droppableConn) Write(b []byte) (int, error) {
	if f.dropped.Load() {
		return len(b), nil
	}
	return f.Conn.Write(b)
}

func pair(handler messenger.Handler, left, right *recorder.Recorder) (a, b *messenger.Conn, box *droppableConn) {
	near, far := net.Pipe()
	box = &droppableConn{Conn: near}
	a = messenger.NewConn(box, messenger.Settings{Recorder: left})
	b = messenger.NewConn(far, messenger.Settings{Handler: handler, Recorder: right})
	return a, b, box
}

var echo = messenger.HandlerFunc(func(_ context.Context, _ *messenger.Conn, m messenger.Method, p json.RawMessage) (any, error) {
	if m == messenger.MethodCancel {
		return nil, &messenger.Refusal{Reason: messenger.ReasonNotLeader, Leader: "127.0.0.1:7"}
	}
	return p, nil
})

var _ = Describe("Conn", func() {
	It("transfers typed answers, refusals and clock readings", func() {
		ahead := func() time.Time { return time.Now().Add(time.Hour) }
		left := recorder.NewRecorder(recorder.Settings{})
		right := recorder.NewRecorder(recorder.Settings{Now: ahead})
		a, b, _ := pair(echo, left, right)
		var back messenger.Resume
		Expect(a.Call(context.Background(), messenger.MethodResume, messenger.Resume{Request: "r", Offset: 7}, &back)).To(Succeed())
		Expect(back).To(Equal(messenger.Resume{Request: "r", Offset: 7}))
		Expect(left.Clock().Now().Time()).To(BeTemporally(">", time.Now().Add(59*time.Minute)))

		var refusal *messenger.Refusal
		Expect(errors.As(a.Call(context.Background(), messenger.MethodCancel, nil, nil), &refusal)).To(BeTrue())
		Expect(*refusal).To(Equal(messenger.Refusal{Reason: messenger.ReasonNotLeader, Leader: "127.0.0.1:7"}))

		Expect(b.Close()).To(Succeed())
		Expect(a.Close()).To(Succeed())
		var broken *messenger.BrokenError
		Expect(errors.As(a.Call(context.Background(), messenger.MethodResume, nil, nil), &broken)).To(BeTrue())
		Expect(broken.Sent).To(BeFalse())
	})
})

// TestPropertyOrder checks that notices and JSON-RPC messages of one connection arrive
// complete and in the order in which they were sent, whatever bytes they contain.
func TestPropertyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var got []messenger.Piece
		keep := messenger.HandlerFunc(func(_ context.Context, _ *messenger.Conn, m messenger.Method, params json.RawMessage) (any, error) {
			var p messenger.Piece
			if err := messenger.Decode(params, &p); err != nil {
				return nil, err
			}
			if m != messenger.MethodResume {
				got = append(got, p)
			}
			return nil, nil
		})
		a, b, _ := pair(keep, nil, nil)
		var sent []messenger.Piece
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			p := messenger.Piece{Request: rapid.String().Draw(t, "request"), Data: rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "data")}
			p.Offset = rapid.Int64().Draw(t, "offset")
			method := rapid.SampledFrom([]messenger.Method{messenger.MethodPiece, messenger.MethodDelta}).Draw(t, "method")
			if method == messenger.MethodPiece && rapid.Bool().Draw(t, "last") {
				p.End = &messenger.End{Outcome: messenger.OutcomeCompleted, StallMillis: 1.5, Detail: "end"}
			}
			if method == messenger.MethodDelta {
				p.Request = "json"
			}
			sent = append(sent, p)
			if err := a.Notify(context.Background(), method, p); err != nil {
				t.Fatal(err)
			}
		}
		if err := a.Call(context.Background(), messenger.MethodResume, messenger.Piece{}, nil); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, sent) {
			t.Fatalf("sent %v, got %v", sent, got)
		}
		_ = a.Close()
		_ = b.Close()
	})
}

// TestOversizedFrameEndsTheConnection guards against running out of memory when a foreign
// process connects or bytes are corrupted, and the frame length reads as gigabytes: a
// buffer must not be allocated from an unchecked length.
func TestOversizedFrameEndsTheConnection(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	b := messenger.NewConn(far, messenger.Settings{})
	_, err := near.Write([]byte{1, 0xff, 0xff, 0xff, 0xff, 0xff, 0x0f})
	g.Expect(err).NotTo(HaveOccurred())
	<-b.Done()
	g.Expect(b.Close()).To(Succeed())
	g.Expect(near.Close()).To(Succeed())
}

// TestSilentConnectionIsClosed guards against a call that never returns on an open
// connection while new connections to the same host work. It happens when a middlebox
// loses the connection state: writes still succeed and nothing is received. Without
// application heartbeats neither end can distinguish this from a slow answer.
func TestSilentConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a, b, box := pair(echo, recorder.NewRecorder(recorder.Settings{}), nil)
		g.Expect(a.Call(context.Background(), messenger.MethodResume, messenger.Resume{}, nil)).To(Succeed())
		<-time.After(10 * messenger.DefaultSilenceLimit)
		g.Expect(a.Call(context.Background(), messenger.MethodResume, messenger.Resume{}, nil)).To(Succeed(), "heartbeats keep an idle connection open")

		box.dropped.Store(true)
		began := time.Now()
		err := a.Call(context.Background(), messenger.MethodResume, messenger.Resume{}, nil)
		var broken *messenger.BrokenError
		g.Expect(errors.As(err, &broken)).To(BeTrue())
		g.Expect(broken.Sent).To(BeTrue(), "the call may have arrived")
		g.Expect(time.Since(began)).To(BeNumerically("<=", messenger.DefaultSilenceLimit+2*messenger.DefaultHeartbeatInterval))
		g.Expect(a.Close()).To(Succeed())
		g.Expect(b.Close()).To(Succeed())
	})
}
