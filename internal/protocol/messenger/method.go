package messenger

// Method names a message between processes.
type Method string

// The methods, by the role that serves them. The owner of each parameter type
// is the package named in the comment.
const (
	// MethodHeartbeat is a notification without parameters, both ways.
	MethodHeartbeat Method = "Heartbeat"
	// MethodPace tells how often an end wants to hear of the other: Pace, both ways.
	MethodPace Method = "Pace"

	// MethodDispatch hands a request to a companion: Dispatch, answered by
	// Accepted.
	MethodDispatch Method = "Companion.Dispatch"
	// MethodResume asks for an answer from an offset on: Resume, answered by
	// Accepted.
	MethodResume Method = "Companion.Resume"
	// MethodAcknowledge frees the buffered part of an answer: Acknowledge.
	MethodAcknowledge Method = "Companion.Acknowledge"
	// MethodCancel gives up a request: Cancel.
	MethodCancel Method = "Companion.Cancel"
	// MethodPiece carries a part of an answer to an entry: Piece.
	MethodPiece Method = "Entry.Piece"

	// MethodAdmit has an adapter made ready for a request: Admit, answered by
	// Admitted.
	MethodAdmit Method = "Companion.Admit"
	// MethodRelease ends an admission: Release.
	MethodRelease Method = "Companion.Release"
	// MethodWatch asks for the backend server's state: Watch.
	MethodWatch Method = "Companion.Watch"
	// MethodState carries an engine's state to an entry (package placer).
	MethodState Method = "Entry.State"

	// MethodReplicate carries messages of the replicated log between control
	// hosts (package replicator).
	MethodReplicate Method = "Control.Replicate"
	// MethodPropose submits a change to the replicated log (package
	// distributor).
	MethodPropose Method = "Control.Propose"
	// MethodSubscribe begins the flow of deltas to a node (package
	// distributor).
	MethodSubscribe Method = "Control.Subscribe"
	// MethodDelta carries changes to a node (package distributor).
	MethodDelta Method = "Node.Delta"
	// MethodApplied tells how far a node has come (package distributor).
	MethodApplied Method = "Control.Applied"
	// MethodInForce asks how far a revision is in force (package distributor).
	MethodInForce Method = "Control.InForce"
	// MethodRead reads resources behind a read barrier (package distributor).
	MethodRead Method = "Control.Read"

	// MethodPulse is a control host's heartbeat to its nodes, and a leader's to
	// the control hosts (package distributor).
	MethodPulse Method = "Node.Pulse"
	// MethodTally asks a control host which of its nodes hold a revision
	// (package distributor).
	MethodTally Method = "Control.Tally"
	// MethodBarrier asks the leader for a revision that covers all that was
	// accepted (package distributor).
	MethodBarrier Method = "Control.Barrier"
	// MethodReport tells a control host what an entry admitted of quotas, and asks for
	// the revision that covers all that was accepted (package bucketer).
	MethodReport Method = "Control.Report"
	// MethodReportBatch carries the reports of one control host to the leader (package
	// bucketer).
	MethodReportBatch Method = "Control.ReportBatch"
	// MethodGoodbye tells a control host that a node leaves for good (package
	// distributor).
	MethodGoodbye Method = "Control.Goodbye"
	// MethodGroup reads and changes the control group (package distributor).
	MethodGroup Method = "Control.Group"

	// MethodEnlist tells the leader of a control host that wants to belong to the
	// group (package distributor).
	MethodEnlist Method = "Control.Enlist"

	// MethodJoin begins a backend server's membership (package registrar).
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
	// MethodVoid tells a companion that its membership ended (package
	// registrar).
	MethodVoid Method = "Companion.Void"
	// MethodDigest carries residency and load changes (package registrar).
	MethodDigest Method = "Node.Digest"

	// MethodRequestPermit asks for a load permit (package permitter).
	MethodRequestPermit Method = "Control.RequestPermit"
	// MethodFinishPermit returns a load permit (package permitter).
	MethodFinishPermit Method = "Control.FinishPermit"
)
