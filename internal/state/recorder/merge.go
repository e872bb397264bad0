package recorder

import "slices"

// Merge returns the events of all pages, sorted by timestamp and then by node.
func Merge(pages []Page) []Event {
	var events []Event
	for i := range pages {
		events = append(events, pages[i].Events...)
	}
	slices.SortStableFunc(events, func(a, b Event) int {
		switch {
		case a.Time.Before(b.Time):
			return -1
		case b.Time.Before(a.Time):
			return 1
		case a.Node < b.Node:
			return -1
		case a.Node > b.Node:
			return 1
		default:
			return 0
		}
	})
	return events
}
