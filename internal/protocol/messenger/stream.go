package messenger

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// MaxFrameBytes bounds one message. A longer one ends the connection: its length
// would otherwise be allocated on the word of the other end.
const MaxFrameBytes = 64 << 20

// The kinds of frames on a connection. A frame is its kind, one byte, the length
// of its content as an unsigned varint, and the content.
const (
	// frameObject holds a JSON-RPC object.
	frameObject byte = iota + 1
	// frameNotice holds a notice in CBOR; an empty one is a heartbeat without a
	// time. Between every entry and every companion they are most of the messages.
	frameNotice
)

// frequent tells the notifications that travel as notices. They are most of what
// is sent while answers stream; as JSON-RPC objects each would be scanned four
// times and its bytes grow by a third.
func frequent(m Method) bool {
	switch m {
	case MethodPiece, MethodAcknowledge, MethodHeartbeat, MethodPace, MethodReplicate, MethodState:
		return true
	default:
		return false
	}
}

// notice is a frequent notification.
type notice struct {
	_      struct{} `cbor:",toarray"`
	Method Method
	Time   recorder.Timestamp
	Params cbor.RawMessage
}

// stream carries JSON-RPC objects for the library, and notices beside them.
type stream struct {
	network net.Conn
	reader  *bufio.Reader
	// notify takes the notices, in the order of their arrival among the objects.
	notify func(notice)

	mu sync.Mutex
	// buffer is the frame being written; guarded by mu.
	buffer bytes.Buffer
}

func newStream(network net.Conn, notify func(notice)) *stream {
	return &stream{network: network, reader: bufio.NewReader(network), notify: notify}
}

// largestKept bounds the write buffer kept between messages.
const largestKept = 64 << 10

// write sends one frame whose content encode writes.
func (s *stream) write(kind byte, content []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer.Reset()
	var head [1 + binary.MaxVarintLen64]byte
	head[0] = kind
	n := binary.PutUvarint(head[1:], uint64(len(content)))
	s.buffer.Write(head[:1+n])
	s.buffer.Write(content)
	_, err := s.network.Write(s.buffer.Bytes())
	if s.buffer.Cap() > largestKept {
		s.buffer = bytes.Buffer{}
	}
	if err != nil {
		return &writeError{err}
	}
	return nil
}

// writeError means that a frame may have been written in part: the connection is
// of no more use.
type writeError struct{ cause error }

// Error tells the cause.
func (w *writeError) Error() string { return "write: " + w.cause.Error() }

// Unwrap returns the cause.
func (w *writeError) Unwrap() error { return w.cause }

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error {
	content, err := json.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	return s.write(frameObject, content)
}

// EncodeNotice returns the parameters of a frequent notification as they travel. What
// goes to many is encoded once so.
func EncodeNotice(params any) (cbor.RawMessage, error) {
	encoded, err := cbor.Marshal(params)
	return encoded, errors.Trace(err)
}

// writeNotice sends a frequent notification.
func (s *stream) writeNotice(m Method, t recorder.Timestamp, params any) error {
	if m == MethodHeartbeat && t == (recorder.Timestamp{}) {
		return s.write(frameNotice, nil)
	}
	encoded, err := EncodeNotice(params)
	if err != nil {
		return err
	}
	content, err := cbor.Marshal(notice{Method: m, Time: t, Params: encoded})
	if err != nil {
		return errors.Trace(err)
	}
	return s.write(frameNotice, content)
}

// ReadObject implements jsonrpc2.ObjectStream. It hands over the notices that
// come before the next object.
func (s *stream) ReadObject(v any) error {
	for {
		kind, content, err := s.read()
		if err != nil {
			return err
		}
		switch kind {
		case frameObject:
			return json.Unmarshal(content, v)
		case frameNotice:
			n := notice{Method: MethodHeartbeat}
			if len(content) > 0 {
				if err := cbor.Unmarshal(content, &n); err != nil {
					return errors.Annotate(err, "notice")
				}
			}
			s.notify(n)
		default:
			return errors.NotValidf("frame of kind %d", kind)
		}
	}
}

func (s *stream) read() (kind byte, content []byte, err error) {
	if kind, err = s.reader.ReadByte(); err != nil {
		return 0, nil, err
	}
	length, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return 0, nil, err
	}
	if length > MaxFrameBytes {
		return 0, nil, errors.NotValidf("frame of %d bytes", length)
	}
	content = make([]byte, length)
	_, err = io.ReadFull(s.reader, content)
	return kind, content, err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.network.Close() }
