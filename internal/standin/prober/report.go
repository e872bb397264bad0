package prober

import (
	"fmt"
	"io"
	"time"
)

// lineSpec defines a line that is fitted to a phase's rows.
type lineSpec struct {
	title string
	x, y  func(Row) float64
}

func bySize(r Row) float64   { return float64(r.Size) }
func byEvents(r Row) float64 { return r.Events }

// perChange converts a figure per second to one per change.
func perChange(f func(Row) float64) func(Row) float64 {
	return func(r Row) float64 { return f(r) / r.Events }
}

func hostsWork(r Row) float64   { return r.Work.Hosts }
func clientsWork(r Row) float64 { return r.Work.Clients }

func writtenWork(r Row) float64 { return r.Work.HostsWritten }

// lineSpecs returns the lines of a phase.
func (p Phase) lineSpecs() []lineSpec {
	switch p {
	case PhaseIdle:
		return []lineSpec{
			{"control hosts, µs/s by client", bySize, func(r Row) float64 { return r.Idle.Hosts }},
			{"clients, µs/s by client", bySize, func(r Row) float64 { return r.Idle.Clients }},
			{"read by clients, B/s by client", bySize, func(r Row) float64 { return r.Idle.EntryRead + r.Idle.CompanionRead }},
			{"written by clients, B/s by client", bySize, func(r Row) float64 { return r.Idle.EntryWritten + r.Idle.CompanionWritten }},
			{"private memory of the largest control host, B by client", bySize, func(r Row) float64 { return float64(r.Idle.Private) }},
		}
	case PhaseChanges:
		return []lineSpec{
			{"control hosts, µs/change by entry", bySize, perChange(hostsWork)},
			{"entries, µs/change by entry", bySize, perChange(clientsWork)},
			{"written by control hosts, B/change by entry", bySize, perChange(writtenWork)},
			{"read by entries, B/change by entry", bySize, perChange(func(r Row) float64 { return r.Work.EntryRead })},
			{"written by entries, B/change by entry", bySize, perChange(func(r Row) float64 { return r.Work.EntryWritten })},
		}
	case PhaseRenewals, PhaseLoads, PhaseReports:
		return []lineSpec{
			{"control hosts, µs by heartbeat", byEvents, hostsWork},
			{"companions and entries, µs by heartbeat", byEvents, clientsWork},
			{"written by control hosts, B by heartbeat", byEvents, writtenWork},
			{"written by companions, B by heartbeat", byEvents, func(r Row) float64 { return r.Work.CompanionWritten }},
			{"read by companions, B by heartbeat", byEvents, func(r Row) float64 { return r.Work.CompanionRead }},
			{"read by entries, B by state of a backend server", func(r Row) float64 { return r.Work.DigestEntries }, func(r Row) float64 { return r.Work.EntryRead }},
		}
	default:
		return []lineSpec{
			{"control hosts, µs by event", byEvents, hostsWork},
			{"clients, µs by event", byEvents, clientsWork},
			{"written by control hosts, B by event", byEvents, writtenWork},
			{"read by clients, B by event", byEvents, func(r Row) float64 { return r.Work.EntryRead + r.Work.CompanionRead }},
			{"written by clients, B by event", byEvents, func(r Row) float64 { return r.Work.EntryWritten + r.Work.CompanionWritten }},
		}
	}
}

// WriteHeader writes the column headings of the rows.
func WriteHeader(out io.Writer) {
	fmt.Fprintf(out, "%6s %8s | %10s %10s | %10s %10s %10s %10s %10s %10s | %8s %8s %8s %8s | %8s\n",
		"size", "events/s", "rest-host", "rest-own", "host µs/s", "own µs/s", "hostw B/s", "read B/s", "writ. B/s", "digest/s",
		"p50", "p99", "force50", "force99", "host MB")
}

// Write writes the row as one line. The read and written bytes are those of the clients.
func (r Row) Write(out io.Writer) {
	fmt.Fprintf(out, "%6d %8.1f | %10.0f %10.0f | %10.0f %10.0f %10.0f %10.0f %10.0f %10.0f | %8s %8s %8s %8s | %8.1f\n",
		r.Size, r.Events, r.Idle.Hosts, r.Idle.Clients, r.Work.Hosts, r.Work.Clients, r.Work.HostsWritten,
		r.Work.EntryRead+r.Work.CompanionRead, r.Work.EntryWritten+r.Work.CompanionWritten, r.Work.DigestEntries,
		millis(r.Median), millis(r.P99), millis(r.PropagationMedian), millis(r.PropagationP99), float64(max(r.Idle.Private, r.Work.Private))/1e6)
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

// WriteSlopes writes the lines fitted to the rows of a phase.
func WriteSlopes(out io.Writer, p Phase, rows []Row) {
	for _, s := range p.lineSpecs() {
		points := make([]Point, len(rows))
		for i, r := range rows {
			points[i] = Point{X: s.x(r), Y: s.y(r)}
		}
		fmt.Fprintf(out, "%s: %v\n", s.title, Fit(points))
	}
}
