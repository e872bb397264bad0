package exchanger

import "github.com/juju/errors"

//go:generate stringer -type=Defect -trimprefix=Defect

// Defect is what is wrong with a malformed or incomplete answer. The names of the values are
// written to logs and metrics.
type Defect int

const (
	// DefectNone means that the error has another cause.
	DefectNone Defect = iota
	// DefectSyntax means that the head can't be parsed.
	DefectSyntax
	// DefectLength means that the head, or an answer to another request, is too long.
	DefectLength
	// DefectStatus means that the status is not valid (RFC 9110, section 15).
	DefectStatus
	// DefectFieldName means that the name of a field is not a token (RFC 9110, section 5.6.2).
	DefectFieldName
	// DefectWriteFailed means that the body ended with its connection, on which writing the request
	// had failed.
	DefectWriteFailed
)

// Sentinel errors of malformed and incomplete answers.
const (
	errSyntax    = errors.ConstError("the head of the answer is malformed")
	errTooLong   = errors.ConstError("the answer is too long")
	errStatus    = errors.ConstError("the answer has no valid status")
	errFieldName = errors.ConstError("the name of a field is not a token")
	// ErrWriteFailed means that a connection has ended on which writing a request had failed. What was
	// received before is not an answer that the end of its connection delimits.
	ErrWriteFailed = errors.ConstError("the connection failed while the request was being written")
)

// DefectOf returns the defect of an answer that is the cause of err.
func DefectOf(err error) Defect {
	switch {
	case errors.Is(err, errSyntax):
		return DefectSyntax
	case errors.Is(err, errTooLong):
		return DefectLength
	case errors.Is(err, errStatus):
		return DefectStatus
	case errors.Is(err, errFieldName):
		return DefectFieldName
	case errors.Is(err, ErrWriteFailed):
		return DefectWriteFailed
	default:
		return DefectNone
	}
}
