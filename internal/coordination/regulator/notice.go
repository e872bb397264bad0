package regulator

//go:generate stringer -type=NoticeKind -trimprefix=Notice

// NoticeKind is the kind of a Notice.
type NoticeKind int

// The kinds of notices.
const (
	// NoticeMissing means that the answer says nothing about a limit: another incarnation
	// or another process gave it, or the limit that it names is malformed.
	NoticeMissing NoticeKind = iota
	// NoticeUnlimited means that the backend server answered without naming a limit.
	NoticeUnlimited
	// NoticeLimited means that the answer names a limit.
	NoticeLimited
)

// Notice is what one answer says about the limit of the backend server.
type Notice struct {
	Kind NoticeKind
	// Rate is the limit in requests per second, only with NoticeLimited. It is finite and
	// not negative.
	Rate float64
}
