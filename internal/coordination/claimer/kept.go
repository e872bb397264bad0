package claimer

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Kept names an answer which a companion keeps.
type Kept struct {
	Request string
	Attempt int
}

const keptSeparator = "#"

// String returns the form that a claim stores.
func (k Kept) String() string { return k.Request + keptSeparator + strconv.Itoa(k.Attempt) }

// ParseKept reads what String wrote.
func ParseKept(text string) (Kept, error) {
	request, number, ok := strings.Cut(text, keptSeparator)
	if !ok || request == "" {
		return Kept{}, errors.NotValidf("kept answer %q", text)
	}
	attempt, err := strconv.Atoi(number)
	if err != nil || attempt < 1 {
		return Kept{}, errors.NotValidf("attempt of kept answer %q", text)
	}
	return Kept{Request: request, Attempt: attempt}, nil
}
