package relayer

//go:generate stringer -type=attemptEnd -trimprefix=end

// attemptEnd tells how one attempt at a call ended.
type attemptEnd int

const (
	// endAnswered means that the whole answer came.
	endAnswered attemptEnd = iota
	// endFailed means that the backend server answered with a failure of its own.
	endFailed
	// endUnread means that it refused the call unread.
	endUnread
	// endElsewhere means that another incarnation of it answered than the one meant.
	endElsewhere
	// endNotSent means that no byte of it left.
	endNotSent
	// endBroken means that the connection ended before any part of the answer was
	// passed on.
	endBroken
	// endCut means that it ended after that.
	endCut
	// endGivenUp means that the caller or the time was gone.
	endGivenUp
)

// count counts the end of an attempt.
func (j *job) count(e attemptEnd) {
	j.relayer.metrics.attempts.WithLabelValues(j.service.Name, e.String()).Inc()
}

// broke returns how an attempt without a whole answer ended.
func (j *job) broke() attemptEnd {
	if j.progressed() {
		return endCut
	}
	return endBroken
}

// progressed reports whether any part of the present attempt's answer was passed on.
func (j *job) progressed() bool { return j.bytes > j.bytesBefore }
