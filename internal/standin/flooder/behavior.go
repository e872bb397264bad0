package flooder

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
)

const (
	// BodyBytes is the length of bodies; endpoints must accept it, and nothing longer.
	BodyBytes = 1 << 20
	// excessBytes is the most that a client sends of a body over the limit.
	excessBytes = 16 << 20
	// UnknownRoute is a path that no endpoint knows.
	UnknownRoute = "/none/x"
	// LongRoute is a path with a long answer.
	LongRoute = "/slow/long"
)

// Endpoint is where clients send requests.
type Endpoint struct {
	// Address is the IP and port.
	Address      string
	Method, Path string
	// Fields returns the fields of each head, each with its line end; nil means only the host.
	Fields func() string
}

// Head returns the head of a request, with further fields.
func (e Endpoint) Head(fields string) string {
	own := ""
	if e.Fields != nil {
		own = e.Fields()
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s%s\r\n", e.Method, e.Path, own, fields)
}

// Behavior is what a client that doesn't behave sends on a connection. The client then keeps the
// connection open.
type Behavior struct {
	Name string
	// Path replaces the path of the endpoint unless it is empty.
	Path string
	// Send writes to the connection what the client sends.
	Send func(w io.Writer, e Endpoint) error
	// Unread means that the client reads nothing.
	Unread bool
}

// ChunkedHead returns the head of a request whose body is in chunks.
func ChunkedHead(e Endpoint) string { return e.Head("Transfer-Encoding: chunked\r\n") }

// LengthHead returns the head of a request with a body of the given length.
func LengthHead(e Endpoint, length int) string {
	return e.Head(fmt.Sprintf("Content-Length: %d\r\n", length))
}

// WriteAll writes texts one after another.
func WriteAll(w io.Writer, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// WriteRepeated writes a piece until total bytes are written.
func WriteRepeated(w io.Writer, piece string, total int) error {
	for written := 0; written < total; written += len(piece) {
		if _, err := io.WriteString(w, piece); err != nil {
			return err
		}
	}
	return nil
}

// Chunk returns a chunk of n bytes.
func Chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// sendUnfinishedBody sends a request whose body lacks its last byte.
func sendUnfinishedBody(w io.Writer, e Endpoint) error {
	return WriteAll(w, LengthHead(e, BodyBytes), strings.Repeat("x", BodyBytes-1))
}

// The behaviors. Those with an unfinished body stop short of its end.
var (
	UnfinishedBody   = Behavior{Name: "unfinished body", Send: sendUnfinishedBody}
	UnfinishedPieces = Behavior{Name: "unfinished body in pieces", Send: func(w io.Writer, e Endpoint) error {
		const piece = 4 << 10
		if err := WriteAll(w, LengthHead(e, BodyBytes)); err != nil {
			return err
		}
		return WriteRepeated(w, strings.Repeat("x", piece), BodyBytes-piece)
	}}
	UnfinishedChunk = Behavior{Name: "unfinished large chunk", Send: func(w io.Writer, e Endpoint) error {
		return WriteAll(w, ChunkedHead(e), fmt.Sprintf("%x\r\n", BodyBytes), strings.Repeat("x", BodyBytes-1))
	}}
	UnfinishedChunks = Behavior{Name: "unfinished small chunks", Send: func(w io.Writer, e Endpoint) error {
		const size = 16
		if err := WriteAll(w, ChunkedHead(e)); err != nil {
			return err
		}
		return WriteRepeated(w, strings.Repeat(Chunk(size), 256), BodyBytes/size*len(Chunk(size)))
	}}
	UnfinishedByteChunks = Behavior{Name: "unfinished chunks of one byte", Send: func(w io.Writer, e Endpoint) error {
		const bytes = BodyBytes / 4
		if err := WriteAll(w, ChunkedHead(e)); err != nil {
			return err
		}
		return WriteRepeated(w, strings.Repeat(Chunk(1), 1024), bytes*len(Chunk(1)))
	}}
	KeptConnection = Behavior{Name: "unfinished body on a kept connection", Send: func(w io.Writer, e Endpoint) error {
		first := e
		first.Path = UnknownRoute
		if err := WriteAll(w, first.Head("Content-Length: 0\r\n")); err != nil {
			return err
		}
		return sendUnfinishedBody(w, e)
	}}
	WholeBody = Behavior{Name: "whole body", Send: func(w io.Writer, e Endpoint) error {
		return WriteAll(w, LengthHead(e, BodyBytes), strings.Repeat("x", BodyBytes))
	}}
	EndlessChunks = Behavior{Name: "endless chunks", Send: func(w io.Writer, e Endpoint) error {
		if err := WriteAll(w, ChunkedHead(e)); err != nil {
			return err
		}
		return WriteRepeated(w, Chunk(64<<10), excessBytes)
	}}
	AnnouncedBody = Behavior{Name: "announced body over the limit", Send: func(w io.Writer, e Endpoint) error {
		if err := WriteAll(w, LengthHead(e, 400<<20)); err != nil {
			return err
		}
		return WriteRepeated(w, strings.Repeat("x", 64<<10), excessBytes)
	}}
	ChunkExtensions = Behavior{Name: "chunk extensions", Send: func(w io.Writer, e Endpoint) error {
		if err := WriteAll(w, ChunkedHead(e)); err != nil {
			return err
		}
		return WriteRepeated(w, "1;"+strings.Repeat("x", 2000)+"\r\nx\r\n", excessBytes)
	}}
	UnfinishedHead = Behavior{Name: "unfinished head", Send: func(w io.Writer, e Endpoint) error {
		return WriteAll(w, strings.TrimSuffix(e.Head(shortFields), "\r\n"))
	}}
	WholeHead = Behavior{Name: "whole head, unfinished body", Send: func(w io.Writer, e Endpoint) error {
		return WriteAll(w, e.Head(shortFields+"Content-Length: 2\r\n"), "x")
	}}
	UnknownPath = Behavior{Name: "unfinished body at an unknown path", Path: UnknownRoute, Send: sendUnfinishedBody}
	Expectation = Behavior{Name: "body that is expected and not sent", Send: func(w io.Writer, e Endpoint) error {
		return WriteAll(w, e.Head(fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", BodyBytes)))
	}}
	Silence      = Behavior{Name: "silence", Send: func(io.Writer, Endpoint) error { return nil }}
	UnreadAnswer = Behavior{Name: "unread answer", Path: LongRoute, Unread: true, Send: func(w io.Writer, e Endpoint) error {
		return WriteAll(w, LengthHead(e, 1), "x")
	}}
	Pipelined = Behavior{Name: "pipelined requests", Path: LongRoute, Unread: true, Send: func(w io.Writer, e Endpoint) error {
		for range 100 {
			if err := WriteAll(w, LengthHead(e, 1), "x"); err != nil {
				return err
			}
		}
		return nil
	}}
)

// shortFields are fields of 14 kB, which take much more memory once they are parsed.
var shortFields = ManyFields(2300)

// ManyFields returns n header fields with names of their own.
func ManyFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// UnfinishedMessage is a message of the protocol between processes that lacks most of the bytes that it announces.
var UnfinishedMessage = Behavior{Name: "unfinished message", Send: func(w io.Writer, _ Endpoint) error {
	head := binary.AppendUvarint([]byte{1}, 64<<20)
	if _, err := w.Write(head); err != nil {
		return err
	}
	return WriteRepeated(w, strings.Repeat("x", 64<<10), 4<<20)
}}
