package relayer

import (
	"net/http"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// errCrashed means that the backend server's process ended with the connection of its answer.
const errCrashed = errors.ConstError("the backend server's process ended with its answer")

// checkCrash returns errCrashed if an answer that has no length, and has ended with its connection,
// was probably cut short: the backend server's process has ended too, and had not announced that it
// leaves. The operating system closes the connections of a process that crashes like those of a
// complete answer.
//
// A refused connection is not proof of that, but an answer that may have been cut short must not pass for
// a complete one. A sound answer of that kind is held back for the time to open a connection.
func (j *job) checkCrash(response *http.Response) error {
	if exchanger.BodyOf(response).Framing() != exchanger.FramingConnection {
		return nil
	}
	if m, ok := j.relayer.settings.View().Member(j.choice.Name); !ok || m.Spec.State != storer.MemberStateServing {
		return nil
	}
	if j.replaced() {
		return errCrashed
	}
	// An error means that there is no evidence.
	if listens, err := j.relayer.settings.Pool.IsListening(j.ctx, j.choice.Address); err == nil && !listens {
		return errCrashed
	}
	return nil
}
