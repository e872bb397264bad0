package relayer

//go:generate stringer -type=sending -trimprefix=sending

// sending tells how one sending of a call ended.
type sending int

const (
	// sendingAnswered means that the whole answer came.
	sendingAnswered sending = iota
	// sendingFailed means that the backend server answered with a failure of its own.
	sendingFailed
	// sendingUnread means that it refused the call unread.
	sendingUnread
	// sendingElsewhere means that another life of it answered than the one meant.
	sendingElsewhere
	// sendingNotSent means that no byte was sent.
	sendingNotSent
	// sendingBroken means that the connection ended before any part of the answer was
	// passed on.
	sendingBroken
	// sendingCut means that it ended after that.
	sendingCut
	// sendingGivenUp means that the caller or the time was gone.
	sendingGivenUp
)

// count counts the end of a sending.
func (j *job) count(s sending) {
	j.relayer.metrics.sendings.WithLabelValues(j.service.Name, s.String()).Inc()
}

// broke returns how a sending without a whole answer ended.
func (j *job) broke() sending {
	if j.progressed() {
		return sendingCut
	}
	return sendingBroken
}

// progressed reports whether any part of the present sending's answer was passed on.
func (j *job) progressed() bool { return j.bytes > j.bytesBefore }
