package claimer

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// RetainedAnswer identifies an answer that a companion retains.
type RetainedAnswer struct {
	Request string
	Attempt int
}

const answerSeparator = "#"

// String returns the form in which a claim stores the reference.
func (a RetainedAnswer) String() string { return a.Request + answerSeparator + strconv.Itoa(a.Attempt) }

// ParseRetainedAnswer parses the result of RetainedAnswer.String.
func ParseRetainedAnswer(text string) (RetainedAnswer, error) {
	request, number, ok := strings.Cut(text, answerSeparator)
	if !ok || request == "" {
		return RetainedAnswer{}, errors.NotValidf("retained answer %q", text)
	}
	attempt, err := strconv.Atoi(number)
	if err != nil || attempt < 1 {
		return RetainedAnswer{}, errors.NotValidf("attempt of retained answer %q", text)
	}
	return RetainedAnswer{Request: request, Attempt: attempt}, nil
}
