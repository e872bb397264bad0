package gatekeeper

import (
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
)

// bodyCopies is the number of copies of a body that a call may hold beside the one that it has read.
const bodyCopies = 3

// noRoom returns the fault for a body that there is no room for.
func (e *Entry) noRoom() *translator.Fault {
	f := translator.NewFault(http.StatusServiceUnavailable, translator.CodeEntryLimit, "this entry holds as much of requests as it may")
	f.RetryAfter = e.random.jitter(time.Second)
	return f
}

// body reads the request's body within the limits on size and time.
func (x *exchange) body() ([]byte, *translator.Fault) {
	s := x.entry.settings.Entry
	limit := int64(s.MaxBodyBytes)
	if x.r.ContentLength > limit {
		x.w.Header().Set("Connection", "close")
		return nil, tooLarge(limit)
	}
	control := http.NewResponseController(x.w)
	// A response recorder in a test has no connection, so that no deadline can be set.
	timed := control.SetReadDeadline(time.Now().Add(time.Duration(s.BodyTimeout))) == nil
	data, err := listener.ReadBody(x.w, x.r, limit)
	// The call holds a copy that is decoded, one that is sent, and the message that carries it.
	if account := listener.AccountOf(x.r); err == nil && account != nil && !account.Add(allotter.KindRequest, bodyCopies*int64(len(data))) {
		err = allotter.ErrNoRoom
	}
	if errors.Is(err, allotter.ErrNoRoom) {
		return nil, x.entry.noRoom()
	}
	if err != nil {
		return nil, unreadable(err, limit)
	}
	if timed {
		// Without this the read deadline would end the request later.
		if err := control.SetReadDeadline(time.Time{}); err != nil {
			return nil, unreadable(err, limit)
		}
	}
	x.content = data
	return data, nil
}

func tooLarge(limit int64) *translator.Fault {
	return translator.NewFault(http.StatusRequestEntityTooLarge, translator.CodeBodyTooLarge, "the body has more than %d bytes", limit)
}

func unreadable(err error, limit int64) *translator.Fault {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return translator.NewFault(http.StatusRequestTimeout, translator.CodeBodyTimeout, "the body did not arrive in time")
	default:
		return translator.NewFault(http.StatusBadRequest, translator.CodeInvalidRequest, "the body was cut off")
	}
}
