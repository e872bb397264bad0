package driver

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles summarise a distribution of times, in milliseconds.
type Quantiles struct {
	Count int64
	Mean  float64
	P50   float64
	P90   float64
	P95   float64
	P99   float64
	Max   float64
}

const (
	// maxTime is the upper limit of a histogram; longer times are counted as maxTime.
	maxTime = time.Hour
	// significantFigures is the number of decimal digits that are exact.
	significantFigures = 3
)

// histogram counts times with a resolution of 1 µs.
type histogram struct {
	counts *hdrhistogram.Histogram
	// sum is the exact sum; the mean of the counts is rounded.
	sum time.Duration
}

func newHistogram() *histogram {
	return &histogram{counts: hdrhistogram.New(1, maxTime.Microseconds(), significantFigures)}
}

// add counts one time.
func (h *histogram) add(length time.Duration) {
	length = min(max(length, 0), maxTime)
	h.sum += length
	if err := h.counts.RecordValue(length.Microseconds()); err != nil {
		panic("driver: histogram rejects a time within its limits")
	}
}

// quantiles returns the summary, or nil if nothing was counted.
func (h *histogram) quantiles() *Quantiles {
	count := h.counts.TotalCount()
	if count == 0 {
		return nil
	}
	at := func(quantile float64) float64 {
		return millis(time.Duration(h.counts.ValueAtQuantile(quantile)) * time.Microsecond)
	}
	return &Quantiles{
		Count: count,
		Mean:  millis(h.sum / time.Duration(count)),
		P50:   at(50),
		P90:   at(90),
		P95:   at(95),
		P99:   at(99),
		Max:   millis(time.Duration(h.counts.Max()) * time.Microsecond),
	}
}

// millis returns a time in milliseconds, rounded to microseconds.
func millis(length time.Duration) float64 {
	return float64(length.Microseconds()) / 1000
}

// seconds returns a time in seconds, rounded to milliseconds.
func seconds(length time.Duration) float64 {
	return float64(length.Milliseconds()) / 1000
}

// quantile returns of(q), or nil if q is nil.
func quantile(q *Quantiles, of func(*Quantiles) float64) *float64 {
	if q == nil {
		return nil
	}
	v := of(q)
	return &v
}
