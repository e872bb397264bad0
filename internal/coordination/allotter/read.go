package allotter

import (
	"io"
	"math/bits"
	"sync"

	"github.com/juju/errors"
)

// ErrNoRoom means that there is no room for what is received.
const ErrNoRoom = errors.ConstError("no room to buffer more")

// firstBufferBytes is the capacity with which the buffer of a body begins.
const firstBufferBytes = 4 << 10

// ReadAll reads a body to its end into a buffer that grows as bytes arrive, whatever length was announced,
// and whose capacity the account holds. A negative length means that none was announced; most is the
// largest length that body returns. The error is ErrNoRoom, also if the account was evicted meanwhile, or
// that of body.
func (c *Account) ReadAll(body io.Reader, length, most int64) ([]byte, error) {
	buffer, err := c.readAll(body, length, most)
	if c.Evicted() {
		recycle(buffer)
		return nil, ErrNoRoom
	}
	return buffer, err
}

func (c *Account) readAll(body io.Reader, length, most int64) ([]byte, error) {
	if length >= 0 {
		most = length
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			grown, err := c.grow(buffer, most)
			recycle(buffer)
			if err != nil {
				return nil, err
			}
			buffer = grown
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			recycle(buffer)
			return nil, err
		}
	}
}

// grow returns a copy of a full buffer with more capacity, up to one byte more than most: that byte shows
// the end of a body.
func (c *Account) grow(buffer []byte, most int64) ([]byte, error) {
	size := min(most+1, max(firstBufferBytes, 2*int64(cap(buffer))))
	if size <= int64(cap(buffer)) {
		size = int64(cap(buffer)) + 1
	}
	if !c.Add(KindRequest, size-int64(cap(buffer))) {
		return nil, ErrNoRoom
	}
	return append(newBuffer(int(size)), buffer...), nil
}

// recycled holds buffers that no body uses any more, by the number of bits of their capacity. Bodies that
// are refused would leave more garbage than the process may hold.
var recycled [64]sync.Pool

// newBuffer returns an empty buffer of the given capacity.
func newBuffer(size int) []byte {
	if b, ok := recycled[bits.Len(uint(size))].Get().(*[]byte); ok && cap(*b) >= size {
		return (*b)[:0:size]
	}
	return make([]byte, 0, size)
}

// recycle keeps a buffer for another body. Nothing may refer to it.
func recycle(buffer []byte) {
	if cap(buffer) > 0 {
		recycled[bits.Len(uint(cap(buffer)))].Put(&buffer)
	}
}
