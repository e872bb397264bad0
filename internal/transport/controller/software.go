package controller

import (
	"context"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// ForgetSoftware removes the record of the software versions that a service has had. The record
// begins again with the versions of its current backend servers, so that streams which an earlier
// version began may be continued at another one. The error is NotFound if there is no record.
func (c *Control) ForgetSoftware(ctx context.Context, service string) error {
	result, err := c.Propose(ctx, storer.Envelope{Command: storer.DeleteResource{Key: storer.Key{Kind: storer.KindSoftware, Name: service}}})
	switch {
	case err != nil:
		return err
	case result.Verdict != storer.VerdictAccepted:
		return errors.NotFoundf("software versions of %.40q", service)
	}
	c.settings.Log.Info().Str("Service", service).Msg("record of software versions removed by an operator")
	return nil
}
