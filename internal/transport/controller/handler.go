package controller

import (
	"context"
	"encoding/json"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// Handle serves what nodes and the other control hosts send. Control is a
// messenger.Handler.
func (c *Control) Handle(ctx context.Context, conn *messenger.Conn, method messenger.Method, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodReplicate:
		return nil, serve(params, func(ms []replicator.Message) {
			for i := range ms {
				c.agreement.Deliver(ms[i])
			}
		})
	case messenger.MethodPulse:
		return nil, serve(params, func(p distributor.Pulse) { c.takePulse(c.settings.Now(), p) })
	case messenger.MethodShareDigest:
		return nil, serve(params, c.takeShared)
	case messenger.MethodApplied:
		return nil, serve(params, func(a distributor.AcknowledgeRevision) { c.applied(conn, a) })
	case messenger.MethodRenew:
		return nil, serve(params, func(h registrar.Heartbeat) { c.heartbeat(conn, h) })
	case messenger.MethodGoodbye:
		c.goodbye(conn)
		return nil, nil
	case messenger.MethodFinishPermit:
		// It may wait for the leader, and so may not hold up what comes after.
		return nil, serve(params, func(f permitter.Finish) { c.passFinish(f) })
	default:
		return c.answer(ctx, conn, method, params)
	}
}

// answer serves calls.
func (c *Control) answer(ctx context.Context, conn *messenger.Conn, method messenger.Method, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodSubscribe:
		return answer(params, func(s distributor.Subscribe) (distributor.Subscribed, error) { return c.startSession(conn, s) })
	case messenger.MethodPropose:
		return answer(params, func(p distributor.Propose) (distributor.Proposed, error) { return c.propose(ctx, p) })
	case messenger.MethodRead:
		return answer(params, func(r distributor.Read) (distributor.ReadAnswer, error) { return c.read(ctx, r) })
	case messenger.MethodBarrier:
		return answer(params, func(b distributor.Barrier) (distributor.BarrierPassed, error) { return c.barrierHere(ctx, b) })
	case messenger.MethodReport:
		return answer(params, func(r bucketer.Report) (bucketer.Answer, error) { return c.reports.report(ctx, r) })
	case messenger.MethodReportBatch:
		return answer(params, func(b bucketer.Batch) (bucketer.Answer, error) { return c.reportHere(ctx, b) })
	case messenger.MethodInForce:
		return answer(params, func(r distributor.TallyRequest) (distributor.InForce, error) { return c.inForce(ctx, r), nil })
	case messenger.MethodTally:
		return answer(params, func(r distributor.TallyRequest) (distributor.TallyAnswer, error) { return c.tallyHere(r), nil })
	case messenger.MethodGroup:
		return answer(params, func(g distributor.GroupChange) (distributor.Group, error) { return c.group(ctx, g) })
	case messenger.MethodEnlist:
		return answer(params, func(e distributor.Enlistment) (distributor.Group, error) { return c.enlist(ctx, e) })
	case messenger.MethodJoin:
		return answer(params, func(j registrar.JoinRequest) (registrar.Lease, error) { return c.join(ctx, j) })
	case messenger.MethodLeave:
		return answer(params, func(l registrar.LeaveRequest) (distributor.Proposed, error) { return c.leave(ctx, l) })
	case messenger.MethodRenewBatch:
		return answer(params, func(b registrar.RenewBatch) (registrar.RenewAnswer, error) { return c.renewHere(b) })
	case messenger.MethodRequestPermit:
		return answer(params, func(a permitter.PermitRequest) (permitter.Grant, error) { return c.requestPermit(ctx, a) })
	default:
		return nil, messenger.NewRefusal(messenger.ReasonUnsupported, string(method))
	}
}

// serve decodes a notification and hands it to f.
func serve[P any](params json.RawMessage, f func(P)) error {
	var p P
	if err := messenger.Decode(params, &p); err != nil {
		return err
	}
	f(p)
	return nil
}

// answer decodes a call and returns what f makes of it.
func answer[P, R any](params json.RawMessage, f func(P) (R, error)) (any, error) {
	var p P
	if err := messenger.Decode(params, &p); err != nil {
		return nil, err
	}
	return f(p)
}

// goodbye notes that a node leaves for good.
func (c *Control) goodbye(conn *messenger.Conn) {
	if s := c.session(conn); s != nil {
		s.mu.Lock()
		s.goodbye = true
		s.mu.Unlock()
	}
}
