package prober

import (
	"fmt"
	"io"
	"time"
)

// slope is one line that a phase's rows give.
type slope struct {
	title string
	x, y  func(Row) float64
}

func bySize(r Row) float64   { return float64(r.Size) }
func byEvents(r Row) float64 { return r.Events }

// perChange returns a figure by change and not by second.
func perChange(f func(Row) float64) func(Row) float64 {
	return func(r Row) float64 { return f(r) / r.Events }
}

func hosts(r Row) float64 { return r.Work.Hosts }
func own(r Row) float64   { return r.Work.Clients }

func written(r Row) float64 { return r.Work.HostsWritten }

// slopes returns the lines of a phase.
func (p Phase) slopes() []slope {
	switch p {
	case PhaseIdle:
		return []slope{
			{"control hosts, µs/s by client", bySize, func(r Row) float64 { return r.Idle.Hosts }},
			{"clients, µs/s by client", bySize, func(r Row) float64 { return r.Idle.Clients }},
			{"read by clients, B/s by client", bySize, func(r Row) float64 { return r.Idle.EntryRead + r.Idle.CompanionRead }},
			{"written by clients, B/s by client", bySize, func(r Row) float64 { return r.Idle.EntryWritten + r.Idle.CompanionWritten }},
			{"private memory of the largest control host, B by client", bySize, func(r Row) float64 { return float64(r.Idle.Private) }},
		}
	case PhaseChanges:
		return []slope{
			{"control hosts, µs/change by entry", bySize, perChange(hosts)},
			{"entries, µs/change by entry", bySize, perChange(own)},
			{"written by control hosts, B/change by entry", bySize, perChange(written)},
			{"read by entries, B/change by entry", bySize, perChange(func(r Row) float64 { return r.Work.EntryRead })},
			{"written by entries, B/change by entry", bySize, perChange(func(r Row) float64 { return r.Work.EntryWritten })},
		}
	case PhaseRenewals, PhaseLoads, PhaseReports:
		return []slope{
			{"control hosts, µs by heartbeat", byEvents, hosts},
			{"companions and entries, µs by heartbeat", byEvents, own},
			{"written by control hosts, B by heartbeat", byEvents, written},
			{"written by companions, B by heartbeat", byEvents, func(r Row) float64 { return r.Work.CompanionWritten }},
			{"read by companions, B by heartbeat", byEvents, func(r Row) float64 { return r.Work.CompanionRead }},
			{"read by entries, B by state of a backend server", func(r Row) float64 { return r.Work.DigestEntries }, func(r Row) float64 { return r.Work.EntryRead }},
		}
	default:
		return []slope{
			{"control hosts, µs by event", byEvents, hosts},
			{"clients, µs by event", byEvents, own},
			{"written by control hosts, B by event", byEvents, written},
			{"read by clients, B by event", byEvents, func(r Row) float64 { return r.Work.EntryRead + r.Work.CompanionRead }},
			{"written by clients, B by event", byEvents, func(r Row) float64 { return r.Work.EntryWritten + r.Work.CompanionWritten }},
		}
	}
}

// WriteHeader writes the heading of the rows.
func WriteHeader(out io.Writer) {
	fmt.Fprintf(out, "%6s %8s | %10s %10s | %10s %10s %10s %10s %10s %10s | %8s %8s %8s %8s | %8s\n",
		"size", "events/s", "rest-host", "rest-own", "host µs/s", "own µs/s", "hostw B/s", "read B/s", "writ. B/s", "digest/s",
		"p50", "p99", "force50", "force99", "host MB")
}

// Write writes the row as one line. Read and written bytes are the clients'.
func (r Row) Write(out io.Writer) {
	fmt.Fprintf(out, "%6d %8.1f | %10.0f %10.0f | %10.0f %10.0f %10.0f %10.0f %10.0f %10.0f | %8s %8s %8s %8s | %8.1f\n",
		r.Size, r.Events, r.Idle.Hosts, r.Idle.Clients, r.Work.Hosts, r.Work.Clients, r.Work.HostsWritten,
		r.Work.EntryRead+r.Work.CompanionRead, r.Work.EntryWritten+r.Work.CompanionWritten, r.Work.DigestEntries,
		millis(r.Median), millis(r.P99), millis(r.PropagationMedian), millis(r.PropagationP99), float64(max(r.Idle.Private, r.Work.Private))/1e6)
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

// WriteSlopes writes the lines through the rows of a phase.
func WriteSlopes(out io.Writer, p Phase, rows []Row) {
	for _, s := range p.slopes() {
		points := make([]Point, len(rows))
		for i, r := range rows {
			points[i] = Point{X: s.x(r), Y: s.y(r)}
		}
		fmt.Fprintf(out, "%s: %v\n", s.title, Fit(points))
	}
}
