package messenger

//go:generate stringer -type=ProcessState -trimprefix=Process

// ProcessState is what the companion of a backend server knows of the process of one incarnation.
type ProcessState int

const (
	// ProcessUnknown means that there is no evidence.
	ProcessUnknown ProcessState = iota
	// ProcessRunning means that the incarnation answers on its host, or has produced output after it
	// began to refuse connections.
	ProcessRunning
	// ProcessLeaving means that the incarnation refuses connections after it announced that it
	// leaves. Its requests may still be in progress.
	ProcessLeaving
	// ProcessExited means that the incarnation has ended.
	ProcessExited
)

// Inspect asks the companion of a backend server whether an incarnation has ended. It is answered by
// Inspected.
type Inspect struct {
	Incarnation string
	// QuietMillis is the time in milliseconds since the sender received output of the incarnation
	// or, if there was none, since it sent a request there.
	QuietMillis int64
}

// Inspected answers Inspect.
type Inspected struct{ State ProcessState }
