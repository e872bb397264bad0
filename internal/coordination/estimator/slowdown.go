package estimator

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Bounds of slowdown factors. A reported factor outside of them is more likely a fault than the
// state of a machine, and must neither attract nor repel all requests.
const (
	MinSlowdown = 0.25
	MaxSlowdown = 20.0
)

// percent is the ratio of a percentage to a factor.
const percent = 100

// ParsePercent parses a slowdown factor in percent. A number above zero is bounded to MinSlowdown
// and MaxSlowdown. The error is that the text is no such number, in which case the factor is 0, or
// that the number was out of bounds.
func ParsePercent(text string) (float64, error) {
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value <= 0 {
		return 0, errors.NotValidf("slowdown factor %.40q", text)
	}
	factor := Bound(value / percent)
	if factor != value/percent {
		return factor, errors.NotValidf("slowdown factor %.40q out of bounds", text)
	}
	return factor, nil
}

// Bound returns the factor bounded to MinSlowdown and MaxSlowdown, or 0 if it is no number above
// zero.
func Bound(factor float64) float64 {
	if !(factor > 0) {
		return 0
	}
	return min(max(factor, MinSlowdown), MaxSlowdown)
}

// Percent returns a factor in whole percent.
func Percent(factor float64) int { return int(math.Round(factor * percent)) }

// FromPercent returns the factor of a number of percent, bounded like by Bound.
func FromPercent(value int) float64 { return Bound(float64(value) / percent) }

// Scale returns the duration of work on a machine with the given slowdown factor, where d is its
// duration at the usual speed.
func Scale(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// minChange is the smallest relative difference of two factors that matters.
const minChange = 0.1

// Differs reports whether two factors differ by a tenth of the smaller one or more.
func Differs(a, b float64) bool {
	// The tolerance lets 1.0 and 1.1 differ in spite of rounding.
	const tolerance = 1e-9
	return math.Abs(a-b) >= minChange*min(a, b)-tolerance
}
