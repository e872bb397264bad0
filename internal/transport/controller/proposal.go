package controller

import (
	"context"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Outcome labels of the proposals metric.
const (
	outcomeAccepted    = "Accepted"
	outcomeNotAccepted = "NotAccepted"
	outcomeUnknown     = "Unknown"
)

// Propose submits a change to the replicated log, through the leader. Its errors are of
// type *messenger.Refusal; all except those with ReasonOutcomeUnknown prove that the
// change has no effect.
func (c *Control) Propose(ctx context.Context, e storer.Envelope) (storer.Result, error) {
	data, err := storer.Encode(e)
	if err != nil {
		return storer.Result{}, messenger.NewRefusal(messenger.ReasonMalformed, err.Error())
	}
	p, err := c.propose(ctx, distributor.Propose{Envelope: data})
	return p.Result, err
}

// propose serves MethodPropose.
func (c *Control) propose(ctx context.Context, p distributor.Propose) (answer distributor.Proposed, err error) {
	ctx, cancel := bounded(ctx, p.TimeoutMillis)
	defer cancel()
	err = c.onLeader(ctx, p.Forwarded, func(ctx context.Context) error {
		result, err := c.proposeLocal(ctx, p.Envelope)
		answer.Result = result
		return err
	}, func(ctx context.Context, conn *messenger.Conn) error {
		p.Forwarded, p.TimeoutMillis = true, remainingMillis(ctx)
		return conn.Call(ctx, messenger.MethodPropose, p, &answer)
	})
	return answer, err
}

// proposeLocal proposes a change at this host, which must lead, and stamps it with this
// host's clock. With the proposers' clocks, the fastest clock among all nodes would
// determine the state's time and age every record: resent changes would take effect
// twice, and the faulty clock would be hard to find.
func (c *Control) proposeLocal(ctx context.Context, data []byte) (storer.Result, error) {
	data, err := storer.Stamp(data, storer.InstantOf(c.settings.Now()))
	if err != nil {
		return storer.Result{}, messenger.NewRefusal(messenger.ReasonMalformed, err.Error())
	}
	index, answer, err := c.agreement.Propose(ctx, data)
	if err != nil {
		outcome := outcomeUnknown
		if replicator.CertainlyNotAccepted(err) {
			outcome = outcomeNotAccepted
		}
		c.metrics.proposals.WithLabelValues(outcome).Inc()
		return storer.Result{}, err
	}
	result, ok := answer.(storer.Result)
	if !ok {
		return storer.Result{}, errors.Errorf("the store answered with %T", answer)
	}
	c.metrics.proposals.WithLabelValues(outcomeAccepted).Inc()
	if result.Verdict == storer.VerdictAccepted && result.Resource != nil && !result.Replayed {
		c.record(recorder.KindConfigurationAccepted, result.Revision, "%s %s/%s at index %d",
			result.Resource.Kind, result.Resource.Metadata.Workspace, result.Resource.Metadata.Name, index)
	}
	return result, nil
}
