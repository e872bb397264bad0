package registrar

import (
	"maps"
	"time"
)

// EntryCount counts the entries connected to all control hosts. It is not safe for concurrent
// use.
type EntryCount struct {
	retention time.Duration
	hosts     map[string]hostEntries
}

// hostEntries is the last count that a control host reported.
type hostEntries struct {
	entries int
	at      time.Time
}

// NewEntryCount returns a count without entries. The entries of a control host that reports
// no more count for the retention: they have gone to other hosts, and a count that is too
// high only lowers what each of them may use of a common budget.
func NewEntryCount(retention time.Duration) *EntryCount {
	return &EntryCount{retention: retention, hosts: make(map[string]hostEntries)}
}

// Record records the number of entries connected to a control host.
func (c *EntryCount) Record(now time.Time, host string, entries int) {
	c.hosts[host] = hostEntries{entries: entries, at: now}
}

// Total returns the number of entries connected to all control hosts; 0 if none is known.
func (c *EntryCount) Total(now time.Time) int {
	maps.DeleteFunc(c.hosts, func(_ string, h hostEntries) bool { return now.Sub(h.at) > c.retention })
	total := 0
	for _, h := range c.hosts {
		total += h.entries
	}
	return total
}
