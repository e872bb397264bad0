package modeler

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
)

// call is one call on its way.
type call struct {
	id    string
	kind  *Kind
	entry *entry
	// came is when its caller asked first, and arrived when it reached its entry.
	came, arrived time.Time
	back          bool
	adapter       string
	prompt        int
	answer        int
	choice        placer.Choice
	placed        bool
	urgency       int
	// sentBack tells that an engine had the call go elsewhere.
	sentBack bool
	// ends tells that the call ends each backend server that begins to run it, and sends
	// counts the backend servers that it was handed to.
	ends  bool
	sends int
	// began tells that its first event has come.
	began bool
	// same is the identity of the caller's request, the same when it comes back.
	same identifier.Identity
	// over tells that the call has ended, one way or another.
	over bool
}

const (
	// patience is the time without a first event after which callers of streams leave.
	patience = 2400 * time.Millisecond
	// hold is for how long an entry holds a call that nobody takes.
	hold = 400 * time.Millisecond
	// holdPause and busyPause are the times between two offers.
	holdPause = 100 * time.Millisecond
	busyPause = 10 * time.Millisecond
	// maxSends is the number of backend servers that a call is handed to for one attempt
	// of its caller.
	maxSends = 2
	// comeBack is the time after which a caller that was refused comes back, once.
	comeBack = 300 * time.Millisecond
	// nearby and faraway are the times of one way within a failure domain and between
	// two.
	nearby  = 200 * time.Microsecond
	faraway = 1100 * time.Microsecond
)
