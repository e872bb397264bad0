package soaker

//go:generate stringer -type=Action

// Action is a disturbance of one process.
type Action int

const (
	// Kill ends the process at once (SIGKILL). It starts again after a while.
	Kill Action = iota
	// Stop stops the process as planned (SIGTERM). It starts again after it has ended.
	Stop
	// Freeze suspends the process (SIGSTOP) and resumes it after a while (SIGCONT).
	Freeze

	actions = iota
)
