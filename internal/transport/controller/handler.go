package controller

import (
	"context"
	"encoding/json"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// Handle serves the messages of nodes and other control hosts. It implements
// messenger.Handler.
func (c *Control) Handle(ctx context.Context, conn *messenger.Conn, method messenger.Method, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodReplicate:
		return nil, handleNotification(params, func(ms []replicator.Message) {
			for i := range ms {
				c.agreement.Deliver(ms[i])
			}
		})
	case messenger.MethodPulse:
		return nil, handleNotification(params, func(p distributor.Pulse) { c.applyPulse(c.settings.Now(), p) })
	case messenger.MethodShareDigest:
		return nil, handleNotification(params, c.applyShared)
	case messenger.MethodApplied:
		return nil, handleNotification(params, func(a distributor.AcknowledgeRevision) { c.acknowledge(conn, a) })
	case messenger.MethodRenew:
		return nil, handleNotification(params, func(h registrar.Heartbeat) { c.heartbeat(conn, h) })
	case messenger.MethodGoodbye:
		c.goodbye(conn)
		return nil, nil
	case messenger.MethodFinishPermit:
		// Forwarding may wait for the leader, and must not block later messages.
		return nil, handleNotification(params, func(f permitter.Finish) { c.forwardFinish(f) })
	default:
		return c.handleCall(ctx, conn, method, params)
	}
}

// handleCall serves the methods that return an answer.
func (c *Control) handleCall(ctx context.Context, conn *messenger.Conn, method messenger.Method, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodSubscribe:
		return handleCall(params, func(s distributor.Subscribe) (distributor.Subscribed, error) { return c.startSession(conn, s) })
	case messenger.MethodFreshness:
		return c.pulse(), nil
	case messenger.MethodPropose:
		return handleCall(params, func(p distributor.Propose) (distributor.Proposed, error) { return c.propose(ctx, p) })
	case messenger.MethodRead:
		return handleCall(params, func(r distributor.Read) (distributor.ReadAnswer, error) { return c.read(ctx, r) })
	case messenger.MethodBarrier:
		return handleCall(params, func(b distributor.Barrier) (distributor.BarrierPassed, error) { return c.serveBarrier(ctx, b) })
	case messenger.MethodReport:
		return handleCall(params, func(r bucketer.Report) (bucketer.Answer, error) { return c.reports.report(ctx, r) })
	case messenger.MethodReportBatch:
		return handleCall(params, func(b bucketer.Batch) (bucketer.Answer, error) { return c.serveReportBatch(ctx, b) })
	case messenger.MethodInForce:
		return handleCall(params, func(r distributor.TallyRequest) (distributor.InForce, error) { return c.inForce(ctx, r), nil })
	case messenger.MethodTally:
		return handleCall(params, func(r distributor.TallyRequest) (distributor.TallyAnswer, error) { return c.localTally(r), nil })
	case messenger.MethodGroup:
		return handleCall(params, func(g distributor.GroupChange) (distributor.Group, error) { return c.group(ctx, g) })
	case messenger.MethodEnlist:
		return handleCall(params, func(e distributor.Enlistment) (distributor.Group, error) { return c.enlist(ctx, e) })
	case messenger.MethodJoin:
		return handleCall(params, func(j registrar.JoinRequest) (registrar.Lease, error) { return c.join(ctx, j) })
	case messenger.MethodLeave:
		return handleCall(params, func(l registrar.LeaveRequest) (distributor.Proposed, error) { return c.leave(ctx, l) })
	case messenger.MethodRenewBatch:
		return handleCall(params, func(b registrar.RenewBatch) (registrar.RenewAnswer, error) { return c.serveRenewBatch(b) })
	case messenger.MethodReserve:
		return handleCall(params, func(q regulator.Reserve) (regulator.Reserved, error) { return c.reserve(ctx, q) })
	case messenger.MethodRequestPermit:
		return handleCall(params, func(a permitter.PermitRequest) (permitter.Grant, error) { return c.requestPermit(ctx, a) })
	default:
		return nil, messenger.NewRefusal(messenger.ReasonUnsupported, string(method))
	}
}

// handleNotification decodes a notification and passes it to f.
func handleNotification[P any](params json.RawMessage, f func(P)) error {
	var p P
	if err := messenger.Decode(params, &p); err != nil {
		return err
	}
	f(p)
	return nil
}

// handleCall decodes a call and returns the result of f.
func handleCall[P, R any](params json.RawMessage, f func(P) (R, error)) (any, error) {
	var p P
	if err := messenger.Decode(params, &p); err != nil {
		return nil, err
	}
	return f(p)
}

// goodbye records that a node leaves permanently.
func (c *Control) goodbye(conn *messenger.Conn) {
	if s := c.session(conn); s != nil {
		s.mu.Lock()
		s.goodbye = true
		s.mu.Unlock()
	}
}
