package gatekeeper

import (
	"bytes"
	"slices"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// endEvent is the event that ends a complete stream.
const endEvent = "data: " + orderer.DoneMark + "\n\n"

// endEventFilter withholds the event that ends a stream until the outcome of the request is known.
// The event arrives before the companion reports the outcome. If it were forwarded at once, a caller
// of an entry that ends in between would receive a complete stream without its outcome.
type endEventFilter struct {
	// withheld is the start of endEvent, or all of it, that was received last.
	withheld []byte
	// inEvent means that the bytes before withheld don't end at the end of an event.
	inEvent bool
}

// pass returns the bytes that can be forwarded now. The result is valid until the next call, and
// does not share memory with data if any bytes were withheld.
func (f *endEventFilter) pass(data []byte) []byte {
	if len(f.withheld) > 0 {
		data = slices.Concat(f.withheld, data)
	}
	start := len(data)
	for i := max(0, len(data)-len(endEvent)); i < len(data); i++ {
		if f.startsEvent(data, i) && bytes.HasPrefix([]byte(endEvent), data[i:]) {
			start = i
			break
		}
	}
	f.withheld = slices.Clone(data[start:])
	if start > 0 {
		f.inEvent = !bytes.HasSuffix(data[:start], []byte("\n\n"))
	}
	return data[:start]
}

// startsEvent reports whether an event starts at data[i].
func (f *endEventFilter) startsEvent(data []byte, i int) bool {
	if i == 0 {
		return !f.inEvent
	}
	return bytes.HasSuffix(data[:i], []byte("\n\n"))
}
