package messenger

// Method is the name of a message between processes.
type Method string

// The methods, grouped by the role that handles them. Parameter types belong to this
// package or to the package named in the comment.
const (
	// MethodHeartbeat is a notification without parameters, sent by both ends.
	MethodHeartbeat Method = "Heartbeat"
	// MethodPace requests a heartbeat pace: Pace, sent by both ends.
	MethodPace Method = "Pace"

	// MethodDispatch sends a request to a companion: Dispatch, answered by Accepted.
	MethodDispatch Method = "Companion.Dispatch"
	// MethodResume requests an answer from an offset on: Resume, answered by Accepted.
	MethodResume Method = "Companion.Resume"
	// MethodAcknowledge frees the buffered part of an answer: Acknowledge.
	MethodAcknowledge Method = "Companion.Acknowledge"
	// MethodCancel cancels a request: Cancel.
	MethodCancel Method = "Companion.Cancel"
	// MethodPiece carries a part of an answer to an entry: Piece.
	MethodPiece Method = "Entry.Piece"

	// MethodAdmit requests that an adapter be made ready for a request: Admit, answered
	// by Admitted.
	MethodAdmit Method = "Companion.Admit"
	// MethodRelease ends an admission: Release.
	MethodRelease Method = "Companion.Release"
	// MethodLimit reports a change of the limit of requests that the backend server names:
	// Limit.
	MethodLimit Method = "Companion.Limit"
	// MethodRecordOrigin reports the software version that began the stream of an attempt:
	// RecordOrigin.
	MethodRecordOrigin Method = "Companion.RecordOrigin"
	// MethodFindOrigin requests the software version that began the stream of an attempt:
	// FindOrigin, answered by FoundOrigin.
	MethodFindOrigin Method = "Companion.FindOrigin"
	// MethodInspect asks whether an incarnation of the backend server has ended: Inspect, answered
	// by Inspected.
	MethodInspect Method = "Companion.Inspect"
	// MethodWatch subscribes to the state of the backend server: Watch.
	MethodWatch Method = "Companion.Watch"
	// MethodState carries the state of an engine to an entry (package placer).
	MethodState Method = "Entry.State"

	// MethodLimitState carries the state of an engine's limit of requests to an entry
	// (package placer).
	MethodLimitState Method = "Entry.LimitState"
	// MethodSpeedState carries the speed of an engine's machine to an entry (package placer).
	MethodSpeedState Method = "Entry.SpeedState"
	// MethodLongPromptState carries the share of time that an engine spends on long prefills to an
	// entry (package placer).
	MethodLongPromptState Method = "Entry.LongPromptState"
	// MethodCacheState carries what an engine has cached of prompts to an entry (package
	// placer).
	MethodCacheState Method = "Entry.CacheState"

	// MethodReplicate carries messages of the replicated log between control
	// hosts (package replicator).
	MethodReplicate Method = "Control.Replicate"
	// MethodPropose submits a change to the replicated log (package
	// distributor).
	MethodPropose Method = "Control.Propose"
	// MethodSubscribe subscribes a node to deltas (package distributor).
	MethodSubscribe Method = "Control.Subscribe"
	// MethodFreshness requests the age of a control host's state, without a subscription;
	// answered by Pulse (package distributor).
	MethodFreshness Method = "Control.Freshness"
	// MethodDelta carries changes to a node (package distributor).
	MethodDelta Method = "Node.Delta"
	// MethodApplied reports the revision that a node has applied (package distributor).
	MethodApplied Method = "Control.Applied"
	// MethodInForce requests how widely a revision is in force (package distributor).
	MethodInForce Method = "Control.InForce"
	// MethodRead reads resources behind a read barrier (package distributor).
	MethodRead Method = "Control.Read"

	// MethodPulse is a control host's heartbeat to its nodes, and a leader's to
	// the control hosts (package distributor).
	MethodPulse Method = "Node.Pulse"
	// MethodTally requests from a control host which of its nodes hold a revision
	// (package distributor).
	MethodTally Method = "Control.Tally"
	// MethodBarrier requests from the leader a revision that covers all changes accepted
	// so far (package distributor).
	MethodBarrier Method = "Control.Barrier"
	// MethodReport reports to a control host the quota that an entry has used, and
	// requests the revision that covers all changes accepted so far (package bucketer).
	MethodReport Method = "Control.Report"
	// MethodReportBatch carries the reports of one control host to the leader (package
	// bucketer).
	MethodReportBatch Method = "Control.ReportBatch"
	// MethodGoodbye informs a control host that a node leaves permanently (package
	// distributor).
	MethodGoodbye Method = "Control.Goodbye"
	// MethodGroup reads and changes the control group (package distributor).
	MethodGroup Method = "Control.Group"

	// MethodEnlist informs the leader of a control host that requests to join the
	// control group (package distributor).
	MethodEnlist Method = "Control.Enlist"

	// MethodJoin starts the membership of a backend server (package registrar).
	MethodJoin Method = "Control.Join"
	// MethodRenew renews memberships (package registrar).
	MethodRenew Method = "Control.Renew"
	// MethodRenewBatch carries the renewals of one control host to the leader
	// (package registrar).
	MethodRenewBatch Method = "Control.RenewBatch"
	// MethodShareDigest carries residency and load changes between control
	// hosts (package registrar).
	MethodShareDigest Method = "Control.ShareDigest"
	// MethodLeave marks or ends a membership (package registrar).
	MethodLeave Method = "Control.Leave"
	// MethodVoid informs a companion that its membership has ended (package registrar).
	MethodVoid Method = "Companion.Void"
	// MethodDigest carries residency and load changes (package registrar).
	MethodDigest Method = "Node.Digest"

	// MethodReserve schedules a request to a backend server that limits requests (package
	// regulator).
	MethodReserve Method = "Control.Reserve"
	// MethodRequestPermit requests a load permit (package permitter).
	MethodRequestPermit Method = "Control.RequestPermit"
	// MethodFinishPermit returns a load permit (package permitter).
	MethodFinishPermit Method = "Control.FinishPermit"
)
