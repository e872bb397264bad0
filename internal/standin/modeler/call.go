package modeler

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
)

// call is one attempt of a caller's request.
type call struct {
	id    string
	kind  *Kind
	entry *entry
	// firstAsked is the time of the caller's first attempt, and arrived the time at which
	// this one reached its entry. retried marks a caller's second attempt.
	firstAsked, arrived time.Time
	retried             bool
	adapter             string
	prompt              int
	answer              int
	choice              placer.Choice
	placed              bool
	// limitRefusals is the number of backend servers that refused the call because of their
	// limits.
	limitRefusals int
	// sentAt is when the call was sent to the backend server.
	sentAt  time.Time
	urgency int
	// redirected is set when an engine has sent the call back to its entry, which happens at
	// most once.
	redirected bool
	// crashesServer marks a call that crashes each backend server that begins to run it.
	// sends is the number of backend servers to which the call was sent.
	crashesServer bool
	sends         int
	// started is set when the first event has arrived.
	started bool
	// identity identifies the caller's request; it is the same for a repeated attempt.
	identity identifier.Identity
	// finished is set when the call has ended with any outcome.
	finished bool
}

const (
	// firstEventTimeout is the time after which callers of streams disconnect if they have
	// received no event.
	firstEventTimeout = 2400 * time.Millisecond
	// placementTimeout is the time after which an entry refuses a call that it can't place.
	placementTimeout = 400 * time.Millisecond
	// placementRetryInterval and busyRetryInterval are the intervals between two attempts to
	// place a call; the latter applies if all backend servers are busy.
	placementRetryInterval = 100 * time.Millisecond
	busyRetryInterval      = 10 * time.Millisecond
	// maxSends is the maximum number of backend servers to which a call is sent.
	maxSends = 2
	// callerRetryDelay is the time after which a refused caller retries, once.
	callerRetryDelay = 300 * time.Millisecond
	// localDelay and remoteDelay are the one-way network delays within a failure domain and
	// between two.
	localDelay  = 200 * time.Microsecond
	remoteDelay = 1100 * time.Microsecond
)
