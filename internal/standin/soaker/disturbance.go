package soaker

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Disturbance is one line of the schedule.
type Disturbance struct {
	At      time.Duration
	Process string
	Length  time.Duration
	// Kind is an Action or a LinkFault.
	Kind fmt.Stringer
	// Delay is set with the link fault Delay only.
	Delay time.Duration
}

// Merge returns all disturbances in the order of their times.
func Merge(events []Event, links []LinkEvent) []Disturbance {
	all := make([]Disturbance, 0, len(events)+len(links))
	for _, e := range events {
		all = append(all, Disturbance{At: e.At, Process: e.Process, Length: e.Length, Kind: e.Action})
	}
	for _, e := range links {
		all = append(all, Disturbance{At: e.At, Process: e.Process, Length: e.Length, Kind: e.Fault, Delay: e.Delay})
	}
	slices.SortStableFunc(all, func(a, b Disturbance) int { return int(a.At - b.At) })
	return all
}

// String returns the line as it is printed.
func (d Disturbance) String() string {
	line := fmt.Sprintf("%8.3f s  %-6v %-10s %v", d.At.Seconds(), d.Kind, d.Process, d.Length.Round(time.Millisecond))
	if d.Delay > 0 {
		line += fmt.Sprintf(", each read %v later", d.Delay.Round(time.Millisecond))
	}
	return line
}

// disturb carries out the schedule, and returns when the last disturbance has ended.
func (d *deployment) disturb(ctx context.Context, schedule []Disturbance) {
	began := time.Now()
	var ends sync.WaitGroup
	defer ends.Wait()
	for _, e := range schedule {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(e.At))):
		}
		fmt.Fprintln(d.settings.Out, e)
		if end := d.begin(e); end != nil {
			ends.Go(func() {
				time.Sleep(e.Length)
				end()
			})
		}
	}
}

// begin begins a disturbance, and returns a function that ends it, or nil if nothing is left to do.
func (d *deployment) begin(e Disturbance) (end func()) {
	switch kind := e.Kind.(type) {
	case Action:
		return d.process(e.Process).disturb(Event{At: e.At, Process: e.Process, Action: kind, Length: e.Length})
	case LinkFault:
		return d.proxies[e.Process].disturb(LinkEvent{At: e.At, Process: e.Process, Fault: kind, Length: e.Length, Delay: e.Delay})
	}
	panic("soaker: unknown kind of disturbance")
}
