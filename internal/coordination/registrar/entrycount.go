package registrar

import (
	"maps"
	"time"
)

// EntryCount counts the entries connected to all control hosts. It is not safe for concurrent
// use.
type EntryCount struct {
	retention time.Duration
	// complete is when the count is taken as complete although not all control hosts have
	// reported.
	complete time.Time
	hosts    map[string]hostEntries
}

// hostEntries is the last count that a control host reported.
type hostEntries struct {
	entries int
	at      time.Time
}

// NewEntryCount returns a count without entries, of a leader whose term begins at now. The entries
// of a control host that reports no more count for the retention: they have gone to other hosts,
// and a count that is too high only lowers what each of them may use of a common budget. Those of
// a host that does not report for the settling time have gone to others.
func NewEntryCount(now time.Time, retention, settling time.Duration) *EntryCount {
	return &EntryCount{retention: retention, complete: now.Add(settling), hosts: make(map[string]hostEntries)}
}

// Record records the number of entries connected to a control host.
func (c *EntryCount) Record(now time.Time, host string, entries int) {
	c.hosts[host] = hostEntries{entries: entries, at: now}
}

// Total returns the number of entries connected to all of the given number of control hosts; 0 if
// it is not known yet.
func (c *EntryCount) Total(now time.Time, hosts int) int {
	if len(c.hosts) < hosts && now.Before(c.complete) {
		return 0
	}
	maps.DeleteFunc(c.hosts, func(_ string, h hostEntries) bool { return now.Sub(h.at) > c.retention })
	total := 0
	for _, h := range c.hosts {
		total += h.entries
	}
	return total
}
