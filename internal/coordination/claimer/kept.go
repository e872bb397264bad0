package claimer

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// RetainedAnswer names an answer which a companion keeps.
type RetainedAnswer struct {
	Request string
	Attempt int
}

const keptSeparator = "#"

// String returns the form that a claim stores.
func (k RetainedAnswer) String() string { return k.Request + keptSeparator + strconv.Itoa(k.Attempt) }

// ParseRetainedAnswer reads what String wrote.
func ParseRetainedAnswer(text string) (RetainedAnswer, error) {
	request, number, ok := strings.Cut(text, keptSeparator)
	if !ok || request == "" {
		return RetainedAnswer{}, errors.NotValidf("kept answer %q", text)
	}
	attempt, err := strconv.Atoi(number)
	if err != nil || attempt < 1 {
		return RetainedAnswer{}, errors.NotValidf("attempt of kept answer %q", text)
	}
	return RetainedAnswer{Request: request, Attempt: attempt}, nil
}
