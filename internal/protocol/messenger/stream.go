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

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// MaxFrameBytes is the maximum size of one message. A longer one ends the connection,
// since its buffer would otherwise be allocated from a length that the peer claims.
const MaxFrameBytes = 64 << 20

// The kinds of frames on a connection. A frame consists of its kind in one byte, the
// length of its content as an unsigned varint, and the content.
const (
	// frameObject contains a JSON-RPC object.
	frameObject byte = iota + 1
	// frameNotice contains a notice in CBOR. An empty one is a heartbeat without a
	// timestamp. These heartbeats are most of the messages between entries and
	// companions.
	frameNotice
)

// sentAsNotice reports whether notifications of a method are sent as notices. These make
// up most of the traffic while answers stream. As JSON-RPC objects, each would be scanned
// four times and its bytes would grow by a third.
func sentAsNotice(m Method) bool {
	switch m {
	case MethodPiece, MethodAcknowledge, MethodHeartbeat, MethodPace, MethodReplicate, MethodState, MethodLimitState, MethodSpeedState, MethodCacheState, MethodLongPromptState, MethodRecordOrigin:
		return true
	default:
		return false
	}
}

// notice is a notification encoded in CBOR.
type notice struct {
	_      struct{} `cbor:",toarray"`
	Method Method
	Time   recorder.Timestamp
	Params cbor.RawMessage
}

// stream transfers the JSON-RPC objects of the library and, on the same connection,
// notices.
type stream struct {
	network net.Conn
	reader  *bufio.Reader
	// account counts long messages while they are received.
	account *allotter.Account
	// handleNotice is called for each notice, in the order of arrival of notices and
	// objects.
	handleNotice func(notice)

	mu sync.Mutex
	// buffer is the frame being written; guarded by mu.
	buffer bytes.Buffer
}

// newStream returns a stream on an open connection. If account is nil, messages are not limited together.
func newStream(network net.Conn, account *allotter.Account, handleNotice func(notice)) *stream {
	if account == nil {
		account = allotter.NewUnlimited().Count()
	}
	return &stream{network: network, reader: bufio.NewReader(network), account: account, handleNotice: handleNotice}
}

// maxRetainedBufferBytes is the maximum capacity of the write buffer that is retained
// between messages.
const maxRetainedBufferBytes = 64 << 10

// write sends one frame.
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
	if s.buffer.Cap() > maxRetainedBufferBytes {
		s.buffer = bytes.Buffer{}
	}
	if err != nil {
		return &writeError{err}
	}
	return nil
}

// writeError means that a frame may have been written in part, so the connection can't be
// used any more.
type writeError struct{ cause error }

// Error returns the text of the cause.
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

// EncodeNotice encodes the parameters of a notice, so that parameters for many receivers
// are encoded only once.
func EncodeNotice(params any) (cbor.RawMessage, error) {
	encoded, err := cbor.Marshal(params)
	return encoded, errors.Trace(err)
}

// writeNotice sends a notice.
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

// ReadObject implements jsonrpc2.ObjectStream. It passes the notices that precede the
// next object to handleNotice.
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
			s.handleNotice(n)
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
	content, err = s.readContent(int64(length))
	if err == nil {
		// An evicted connection is closed.
		_ = s.account.Complete()
	}
	return kind, content, err
}

// readContent reads the content of a frame. A long one counts as held until it is complete, and its buffer
// grows as it arrives, since its length is only what the peer claims.
func (s *stream) readContent(length int64) ([]byte, error) {
	if length <= allotter.SmallRequest {
		content := make([]byte, length)
		_, err := io.ReadFull(s.reader, content)
		return content, err
	}
	content, err := s.account.ReadAll(io.LimitReader(s.reader, length), length, length)
	s.account.Remove(allotter.KindRequest, int64(cap(content)))
	if err == nil && int64(len(content)) < length {
		err = io.ErrUnexpectedEOF
	}
	return content, err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.network.Close() }
